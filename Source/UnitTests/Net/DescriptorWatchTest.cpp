#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Common/EventLoop.h"
#include "Net/DescriptorWatch.h"

namespace {

using std::chrono::milliseconds;

class counting_observer final : public readiness_observer
{
public:
  void OnReady(std::uint32_t aEvents) override
  {
    mEvents |= aEvents;
    ++mCalls;
    if (mAction) {
      mAction();
    }
  }

  std::uint32_t mEvents = 0;
  unsigned mCalls = 0;
  std::function<void()> mAction;
};

class descriptor_watch_test : public testing::Test
{
protected:
  /// Two connected sockets; a write to the second makes the first readable.
  static std::array<int, 2> MakeSocketPair()
  {
    std::array<int, 2> pair{};
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()),
              0);
    return pair;
  }
  static void Send(int aDescriptor)
  {
    EXPECT_EQ(write(aDescriptor, "x", 1), 1);
  }
  /// Runs the loop for 30 ms.
  void RunLoop()
  {
    mLoop.RunUntil([] { return false; }, milliseconds(30));
  }

  event_loop mLoop;
};

} // namespace

// Guards against events that the watch did not ask for.
TEST_F(descriptor_watch_test, ReportsOnlyWatchedEvents)
{
  const auto pair = MakeSocketPair();
  counting_observer observer;
  descriptor_watch watch;
  ASSERT_TRUE(watch.Start(pair[0], 0, observer));
  Send(pair[1]);
  RunLoop();
  EXPECT_EQ(observer.mCalls, 0U);
  watch.SetEvents(EPOLLIN);
  observer.mAction = [&] { watch.SetEvents(0); };
  RunLoop();
  EXPECT_EQ(observer.mCalls, 1U);
  EXPECT_EQ(observer.mEvents, static_cast<std::uint32_t>(EPOLLIN));
  watch.Stop();
  close(pair[0]);
  close(pair[1]);
}

// Guards against events of a closed connection that reach a new connection with
// the same descriptor number: one observer of a batch replaces the descriptor
// of another event in the same batch.
TEST_F(descriptor_watch_test, DropsEventsOfStoppedWatch)
{
  const std::array<std::array<int, 2>, 2> pairs{ MakeSocketPair(),
                                                 MakeSocketPair() };
  std::array<counting_observer, 2> observers;
  std::array<descriptor_watch, 2> watches;
  counting_observer replacement;
  descriptor_watch replacementWatch;
  std::array<int, 2> replacementPair{ -1, -1 };
  for (std::size_t i = 0; i < 2; ++i) {
    ASSERT_TRUE(watches[i].Start(pairs[i][0], EPOLLIN, observers[i]));
    // The observer that is called first replaces the other descriptor.
    observers[i].mAction = [&, other = 1 - i] {
      if (replacementPair[0] >= 0) {
        return;
      }
      watches[0].SetEvents(0);
      watches[1].SetEvents(0);
      watches[other].Stop();
      const int reused = pairs[other][0];
      replacementPair = MakeSocketPair();
      EXPECT_EQ(dup2(replacementPair[0], reused), reused);
      EXPECT_TRUE(replacementWatch.Start(reused, EPOLLIN, replacement));
    };
  }
  Send(pairs[0][1]);
  Send(pairs[1][1]);
  RunLoop();
  EXPECT_EQ(observers[0].mCalls + observers[1].mCalls, 1U);
  EXPECT_EQ(replacement.mCalls, 0U);
  Send(replacementPair[1]);
  replacement.mAction = [&] { replacementWatch.SetEvents(0); };
  RunLoop();
  EXPECT_EQ(replacement.mCalls, 1U);
  replacementWatch.Stop();
  watches[0].Stop();
  watches[1].Stop();
  for (const auto& pair : { pairs[0], pairs[1], replacementPair }) {
    close(pair[0]);
    close(pair[1]);
  }
}
