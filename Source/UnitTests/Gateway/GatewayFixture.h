#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Common/EventLoop.h"
#include "FakeRowStore.h"
#include "Gateway/GatewayNode.h"
#include "platform/PlatformCodec.h"

/// HTTP server whose answers are set by a test.
class scripted_server final : public http_request_handler
{
public:
  using script =
    std::function<void(http_server_connection&, const http_server_request&)>;

  explicit scripted_server(const time_source& aTime);
  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override;
  void OnClientDisconnected(http_server_connection&) override
  {
    ++mClientsGone;
  }
  void OnClientDrained(http_server_connection&) override {}
  void OnConnectionClosed(http_server_connection&) override {}

  /// Ends the server once the current callback has returned: its connections
  /// break and its port refuses new ones.
  void End();

  std::string Address() const { return FormatTcpAddress(mListener->Address()); }
  /// Adds the headers that mark the response as a server's answer to the
  /// request.
  static void Sign(http_server_response& aResponse,
                   const http_server_request& aRequest);

  /// Starts an event stream with the given events and leaves it open.
  static void SendEvents(http_server_connection& aConnection,
                         const http_server_request& aRequest,
                         const std::string& aEvents);

  std::vector<http_server_request> mRequests;
  script mScript;
  unsigned mClientsGone = 0;

private:
  std::unique_ptr<http_listener> mListener;
  loop_timer mEndTimer;
};

/// Records the answer of the gateway to one request of a test.
class client_exchange final : public http_client_exchange_observer
{
public:
  bool OnResponse(http_client_connection&,
                  http_client_response aResponse) override
  {
    mResponse = aResponse;
    return true;
  }
  void OnBody(std::string_view aBytes) override { mBody.append(aBytes); }
  void OnComplete(bool) override { mComplete = true; }
  void OnExchangeFailed(exchange_failure aFailure) override
  {
    mFailure = aFailure;
  }
  bool Ended() const { return mComplete || mFailure.has_value(); }

  std::unique_ptr<http_client_connection> mConnection;
  http_client_response mResponse;
  std::string mBody;
  bool mComplete = false;
  std::optional<exchange_failure> mFailure;
};

/// Passes all calls to another store. Tests derive stores from it that change
/// what reads return.
class forwarding_row_store : public row_store
{
public:
  explicit forwarding_row_store(row_store& aStore)
    : mStore(aStore)
  {
  }

  void Commit(const row_transaction& aTransaction,
              commit_callback aReply) override
  {
    mStore.Commit(aTransaction, std::move(aReply));
  }
  void Read(const std::string& aTable,
            const std::string& aPart,
            const std::string& aFrom,
            page_callback aReply) override
  {
    mStore.Read(aTable, aPart, aFrom, WrapPage(std::move(aReply)));
  }
  void ReadChanges(const std::string& aTable,
                   std::uint64_t aAfter,
                   std::chrono::milliseconds aWait,
                   page_callback aReply) override
  {
    mStore.ReadChanges(aTable, aAfter, aWait, WrapPage(std::move(aReply)));
  }
  std::uint64_t Era() const override { return mStore.Era(); }
  std::optional<std::chrono::milliseconds> Clock() const override
  {
    return mStore.Clock();
  }

protected:
  virtual page_callback WrapPage(page_callback aReply) = 0;

private:
  row_store& mStore;
};

/// One gateway node with an in-memory store and servers of the test.
class gateway_fixture : public testing::Test
{
protected:
  gateway_fixture();
  ~gateway_fixture() override;

  /// Adds a server of a service to the store.
  scripted_server& AddServer(const std::string& aId,
                             const std::string& aService,
                             const std::string& aSoftware = "v1");
  /// Writes a newer entry of a server of the service `app`.
  void PutServer(const std::string& aId,
                 const scripted_server& aServer,
                 const std::string& aState,
                 unsigned aSlots = 8);
  /// Starts the node and waits until it is ready.
  void StartNode();
  /// Starts the node and a second one that uses `aStore`, and waits until both
  /// are ready and have heard of each other.
  void StartTwoNodes(row_store& aStore);
  /// Begins a request at the second node, with an identity of its own.
  std::unique_ptr<client_exchange> BeginAtSecondNode(const std::string& aPath);
  /// A port of the loopback address that the kernel assigns to no connection.
  static std::uint16_t FreePort();
  /// Begins a request. `aHeaders` are further header lines, each ending in
  /// CRLF.
  std::unique_ptr<client_exchange> BeginRequest(
    const std::string& aMethod,
    const std::string& aPath,
    const std::string& aHeaders = {},
    const std::string& aBody = {});
  /// Runs a request to its end.
  std::unique_ptr<client_exchange> Call(const std::string& aMethod,
                                        const std::string& aPath,
                                        const std::string& aHeaders = {},
                                        const std::string& aBody = {});
  bool RunUntil(const std::function<bool()>& aCondition);
  void RunFor(std::chrono::milliseconds aTime);

  event_loop mLoop;
  system_time_source mTime;
  platform_codec mCodec;
  fake_row_store mStore;
  loop_timer mStoreTimer;
  std::string mConfig;
  gateway_settings mSettings;
  std::vector<std::unique_ptr<scripted_server>> mServers;
  std::unique_ptr<gateway_node> mNode;
  std::unique_ptr<gateway_node> mSecondNode;
  unsigned mLastRequestId = 0;
  bool mStopped = false;
};
