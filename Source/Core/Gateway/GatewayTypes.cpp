#include "Gateway/GatewayTypes.h"

std::size_t RequestBytes(const gateway_request& aRequest)
{
  std::size_t bytes = AllocatedBytes(aRequest.mForwarded) +
                      aRequest.mPrompt.capacity() * sizeof(prompt_segment) +
                      aRequest.mBody.size();
  for (const prompt_segment& segment : aRequest.mPrompt) {
    bytes += AllocatedBytes(segment.mId);
  }
  for (const std::string* text : { &aRequest.mId,
                                   &aRequest.mMethod,
                                   &aRequest.mTarget,
                                   &aRequest.mHost,
                                   &aRequest.mPath,
                                   &aRequest.mKey,
                                   &aRequest.mModel,
                                   &aRequest.mLastEventId,
                                   &aRequest.mResumedRequestId }) {
    bytes += AllocatedBytes(*text);
  }
  return bytes;
}
