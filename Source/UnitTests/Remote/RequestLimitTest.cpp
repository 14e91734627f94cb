#include <gio/gio.h>
#include <gtest/gtest.h>

#include "Common/EventLoop.h"
#include "Remote/HttpClient.h"
#include "Remote/HttpServer.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class request_limit_test : public ::testing::Test
{
protected:
  void Listen(http_server_options aOptions)
  {
    mServer = std::make_unique<http_server>(aOptions);
    mServer->Route("/take", [this](const http_server_exchange_ptr& aExchange) {
      ++mHandled;
      aExchange->Reply(200, "text/plain", "taken");
    });
    ASSERT_TRUE(mServer->Listen("127.0.0.1:0").has_value());
  }

  event_loop mLoop;
  std::unique_ptr<http_server> mServer;
  int mHandled = 0;
};

} // namespace

// Guards against clients that exhaust memory with header fields.
TEST_F(request_limit_test, RefusesLongHeaders)
{
  http_server_options options;
  options.mMaxHeaderBytes = 2000;
  Listen(options);
  http_client client;
  http_request_owner owner;
  http_request request;
  request.mUrl = "http://" + mServer->Address() + "/take";
  request.mHeaders = { { "X-Long", std::string(3000, 'x') } };
  unsigned status = 0;
  client.Send(request, owner, [&status](const auto& aReply) {
    status = aReply.has_value() ? aReply.value().mStatus : 1;
  });
  ASSERT_TRUE(mLoop.RunUntil([&status] { return status != 0; }, seconds(5)));
  EXPECT_EQ(status, 431U);
  EXPECT_EQ(mHandled, 0);
}

// Guards against clients that hold connections open with incomplete requests.
TEST_F(request_limit_test, ClosesSlowSenders)
{
  http_server_options options;
  options.mBodyTimeout = milliseconds(200);
  Listen(options);
  GSocketClient* client = g_socket_client_new();
  GSocketConnection* connection = g_socket_client_connect_to_host(
    client, mServer->Address().c_str(), 80, nullptr, nullptr);
  ASSERT_NE(connection, nullptr);
  const std::string incompleteRequest =
    "POST /take HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf";
  GOutputStream* output =
    g_io_stream_get_output_stream(G_IO_STREAM(connection));
  ASSERT_TRUE(g_output_stream_write_all(output,
                                        incompleteRequest.data(),
                                        incompleteRequest.size(),
                                        nullptr,
                                        nullptr,
                                        nullptr));
  GSocket* socket = g_socket_connection_get_socket(connection);
  g_socket_set_blocking(socket, FALSE);
  char byte = 0;
  const bool closed = mLoop.RunUntil(
    [socket, &byte] {
      return g_socket_receive(socket, &byte, 1, nullptr, nullptr) == 0;
    },
    seconds(5));
  EXPECT_TRUE(closed);
  EXPECT_EQ(mHandled, 0);
  g_object_unref(connection);
  g_object_unref(client);
}
