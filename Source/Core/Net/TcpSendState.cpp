#include "Net/TcpSendState.h"

#include <cstddef>
#include <netinet/in.h>
#include <sys/socket.h>

// The header of the C library lacks the newer fields of `tcp_info`.
#include <linux/tcp.h>

std::optional<tcp_send_state> ReadTcpSendState(int aDescriptor)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  constexpr std::size_t kNeededSize =
    offsetof(tcp_info, tcpi_notsent_bytes) + sizeof info.tcpi_notsent_bytes;
  if (getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < kNeededSize) {
    return std::nullopt;
  }
  return tcp_send_state{ info.tcpi_bytes_acked,
                         info.tcpi_unacked == 0 && info.tcpi_notsent_bytes > 0,
                         std::chrono::milliseconds(info.tcpi_last_ack_recv) };
}
