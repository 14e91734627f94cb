#include "Gateway/UnfinishedRequests.h"

#include <algorithm>

std::vector<std::uintptr_t> ChooseOverdueRequests(
  std::vector<unfinished_request> aRequests,
  std::size_t aBytes,
  time_point aNow)
{
  std::ranges::sort(aRequests, {}, &unfinished_request::mBeganAt);
  std::vector<std::uintptr_t> chosen;
  std::size_t freed = 0;
  for (const unfinished_request& request : aRequests) {
    if (freed >= aBytes || aNow < request.mBeganAt + kUsualArrivalTime) {
      break;
    }
    chosen.push_back(request.mConnection);
    freed += request.mBytes;
  }
  return chosen;
}
