#include "AllowanceFixture.h"

#include <random>

using std::chrono::milliseconds;

// Guards against overspending: in random schedules of grants, transfers, kills,
// restarts, takeovers by other nodes, outages, lost replies and late writes the
// fleet must never consume more than the account has. The 10,000 schedules are
// divided into 20 tests, because all of them take longer under the sanitizers
// than one test may. Another 20 tests run them with the rules of a large fleet.
class token_allowance_schedules
  : public token_allowance_test
  , public testing::WithParamInterface<unsigned>
{};

TEST_P(token_allowance_schedules, NeverOverspend)
{
  constexpr unsigned kSchedules = 500;
  constexpr unsigned kSteps = 60;
  constexpr unsigned kHosts = 3;
  constexpr unsigned kSmallFleetTests = 20;
  constexpr unsigned kLargeFleetNodes = 71;
  const unsigned fleetNodes =
    GetParam() < kSmallFleetTests ? kHosts : kLargeFleetNodes;
  std::int64_t consumedByAll = 0;
  const unsigned firstSeed = GetParam() % kSmallFleetTests * kSchedules + 1;
  for (unsigned seed = firstSeed; seed < firstSeed + kSchedules; ++seed) {
    std::mt19937 random(seed);
    const auto chance = [&random](unsigned aPercent) {
      return random() % 100 < aPercent;
    };
    fake_row_store store;
    time_point now{ std::chrono::seconds(100) };
    std::uint64_t runs = 0;
    std::int64_t consumed = 0;
    const auto makeNode = [&](unsigned aHost) {
      auto node = std::make_unique<allowance_node>(
        std::to_string(aHost), ++runs, store, now);
      node->mTokenAllowance->SetTotal(kAccount, kTotal);
      node->mTokenAllowance->SetNodes(fleetNodes);
      return node;
    };
    std::vector<std::unique_ptr<allowance_node>> nodes;
    for (unsigned host = 0; host < kHosts; ++host) {
      nodes.push_back(makeNode(host));
    }
    // When hosts that are off start again.
    std::vector<std::optional<time_point>> startsAt(kHosts);
    for (unsigned step = 0; step < kSteps; ++step) {
      const milliseconds time(10 + random() % 500);
      now += time;
      store.mTime += time;
      store.mFault = chance(15)   ? fake_row_store::fault::LoseReply
                     : chance(10) ? fake_row_store::fault::Delay
                     : chance(10) ? fake_row_store::fault::Refuse
                                  : fake_row_store::fault::None;
      if (chance(8)) {
        store.mUnreachable = !store.mUnreachable;
      }
      for (unsigned host = 0; host < kHosts; ++host) {
        if (startsAt[host] && now >= *startsAt[host]) {
          nodes[host] = makeNode(host);
          startsAt[host].reset();
        }
      }
      token_holders holders;
      for (const auto& node : nodes) {
        holders[AccountKey(kAccount)].push_back(
          { node->mHost, node->mTokenAllowance->FreeTokens(kAccount) });
      }
      for (auto& node : nodes) {
        if (startsAt[std::stoul(node->mHost)]) {
          continue;
        }
        node->mTokenAllowance->SetHolders(holders);
        const std::int64_t size = 1 + random() % 12000;
        if (node->mTokenAllowance->Reserve(kAccount, size, now) ==
            reserve_verdict::Granted) {
          // The tokens count as consumed at once, because a killed node cannot
          // end its reservations.
          const std::int64_t used = chance(50) ? size : size / 3;
          consumed += used;
          if (chance(80)) {
            node->mTokenAllowance->FinishReservation(kAccount, size, used, now);
          } else {
            consumed += size - used;
          }
        }
        for (const addressed_request& request :
             node->mTokenAllowance->TakeTokenRequests(node->mRun, now)) {
          const unsigned from = std::stoul(request.mTo);
          if (startsAt[from]) {
            continue;
          }
          auto& sender = nodes[from];
          const auto transfer =
            sender->mTokenAllowance->AnswerRequest(request.mRequest, now);
          if (transfer && chance(80)) {
            node->mTokenAllowance->OnTransfer(*transfer, node->mRun);
          }
        }
        node->Step();
      }
      if (chance(20)) {
        const unsigned taker = random() % kHosts;
        if (!startsAt[taker]) {
          nodes[taker]->mRecovery->Recover(std::to_string(random() % kHosts),
                                           now);
        }
      }
      if (chance(70)) {
        store.DeliverReplies();
      }
      if (chance(10)) {
        store.ApplyDelayedWrites();
      }
      const unsigned host = random() % kHosts;
      if (chance(8) && !startsAt[host]) {
        // Some hosts are off for so long that the claim expires.
        startsAt[host] = now + milliseconds(chance(50) ? 0 : random() % 8000);
        nodes[host]->mRecovery.reset();
      }
    }
    ASSERT_LE(consumed, kTotal) << "seed " << seed;
    consumedByAll += consumed;
  }
  // The schedules must spend most tokens; otherwise they would prove nothing.
  EXPECT_GT(consumedByAll, kTotal / 2 * kSchedules);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         token_allowance_schedules,
                         testing::Range(0U, 40U));
