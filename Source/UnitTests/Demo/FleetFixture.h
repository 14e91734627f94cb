#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "ChatCaller.h"
#include "Demo/EmbeddedFleet.h"
#include "StandIn/EngineAnswer.h"

/// A fleet with stand-ins on loopback, and callers of it.
class fleet_fixture : public ::testing::Test
{
protected:
  static constexpr const char* kClinicKey = "demo-key-clinic";

  void StartFleet(embedded_fleet_options aOptions = {})
  {
    mFleet = std::make_unique<embedded_fleet>(std::move(aOptions));
    const auto started = mFleet->Start(mLoop);
    ASSERT_TRUE(started.has_value()) << started.error().mMessage;
  }

  bool Wait(const std::function<bool()>& aCondition,
            std::chrono::milliseconds aLimit = std::chrono::seconds(20))
  {
    return mLoop.RunUntil(aCondition, aLimit);
  }

  void Pass(std::chrono::milliseconds aTime)
  {
    mLoop.RunUntil([] { return false; }, aTime);
  }

  chat_call Call(std::size_t aNode, const std::string& aPrompt) const
  {
    chat_call call;
    call.mNode = mFleet->Node(aNode).HttpAddress();
    call.mKey = kClinicKey;
    call.mPrompt = aPrompt;
    return call;
  }

  std::unique_ptr<chat_caller> Send(const chat_call& aCall)
  {
    return std::make_unique<chat_caller>(mClient, aCall);
  }

  /// The engine's whole answer to a call.
  std::string Expected(const chat_call& aCall)
  {
    const auto request = ParseEngineRequest(chat_caller::Body(aCall));
    return mFleet->Cluster().Engine(0).ExpectedAnswer(request.value());
  }

  /// Stops all nodes, so that every charge is in the store.
  void StopFleet()
  {
    ASSERT_TRUE(mFleet->StopNodes(mLoop, std::chrono::seconds(30)));
  }

  event_loop mLoop;
  http_client mClient;
  std::unique_ptr<embedded_fleet> mFleet;
};
