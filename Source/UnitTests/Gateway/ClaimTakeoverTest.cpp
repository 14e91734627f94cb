#include "AllowanceFixture.h"

using std::chrono::milliseconds;

namespace {

// Smaller fleets have no hard limit below what a node holds.
constexpr std::size_t kLargeFleet = 72;

} // namespace

// Guards against tokens lost for good with a host that was off for a long time:
// the tokens above the hard limit are taken over, the others are not.
TEST_F(token_allowance_test, TakesOverAboveTheHardLimitOfAnExpiredClaim)
{
  constexpr std::int64_t kExtra = 20000;
  {
    allowance_node first = MakeNode("a");
    Run(first, milliseconds(500));
    first.mTokenAllowance->SetNodes(kLargeFleet);
    first.mTokenAllowance->OnTakenOver({ { "clinic", kExtra } }, mNow);
    Advance(milliseconds(400));
    first.WriteClaim();
    mStore.DeliverReplies();
  }
  const auto row = ParseClaimRow(*mStore.Value(ClaimRowKey("a")));
  ASSERT_TRUE(row);
  const claim_entry& entry = row->mAccounts.at("clinic");
  ASSERT_GE(entry.mReceived - entry.mHardLimit, kExtra / 2);
  Advance(milliseconds(60000));
  allowance_node second = MakeNode("a");
  second.mTokenAllowance->SetTotal(kAccount, 0);
  Run(second, milliseconds(100));
  EXPECT_EQ(second.mTokenAllowance->FreeTokens(kAccount),
            entry.mReceived - entry.mHardLimit);
}

// Guards against overspending after a takeover from a node that is alive and
// has no contact to the store: it keeps to its hard limit for ever, and cannot
// write a claim before it has read what was taken.
TEST_F(token_allowance_test, OwnerKeepsToItsHardLimitAfterATakeover)
{
  constexpr std::int64_t kExtra = 20000;
  allowance_node owner = MakeNode("a");
  Run(owner, milliseconds(500));
  owner.mTokenAllowance->SetNodes(kLargeFleet);
  owner.mTokenAllowance->OnTakenOver({ { "clinic", kExtra } }, mNow);
  Advance(milliseconds(400));
  owner.WriteClaim();
  mStore.DeliverReplies();
  const std::int64_t held = owner.mTokenAllowance->FreeTokens(kAccount);
  const auto row = ParseClaimRow(*mStore.Value(ClaimRowKey("a")));
  ASSERT_TRUE(row);
  const std::int64_t takeable = TakeableTokens(*row).at("clinic");

  allowance_node taker = MakeNode("b");
  const manual_time_source time;
  claim_recovery recovery(*taker.mTokenAllowance, mStore, time, "taker");
  recovery.Recover("a", mNow);
  mStore.DeliverReplies();
  mStore.DeliverReplies();
  EXPECT_EQ(taker.mTokenAllowance->FreeTokens(kAccount), takeable);

  mStore.mUnreachable = true;
  for (unsigned i = 0; i < 1000; ++i) {
    owner.Step();
    mStore.DeliverReplies();
    Advance(milliseconds(10));
  }
  EXPECT_NE(owner.mTokenAllowance->Reserve(kAccount, held - takeable + 1, mNow),
            reserve_verdict::Granted);
  EXPECT_EQ(owner.mTokenAllowance->FreeTokens(kAccount), held);
  mStore.mUnreachable = false;
  Run(owner, milliseconds(100));
  // The store's row now tells the owner what was taken, once.
  EXPECT_EQ(owner.mTokenAllowance->FreeTokens(kAccount), held - takeable);
  Run(owner, milliseconds(700));
  EXPECT_LE(owner.mTokenAllowance->FreeTokens(kAccount), held - takeable);
}

// Guards against a takeover that counts twice or not at all when its reply is
// lost after the row was replaced.
TEST_F(token_allowance_test, RecognizesItsOwnUnansweredTakeover)
{
  claim_row row;
  row.mRun = "ended";
  row.mAccounts["clinic"] = { 5000, 1000, 2000, 0 };
  mStore.Put(ClaimRowKey("a"), WriteClaimRow(row));
  allowance_node taker = MakeNode("b");
  manual_time_source time;
  claim_recovery recovery(*taker.mTokenAllowance, mStore, time, "taker");
  recovery.Recover("a", mNow);
  mStore.mFault = fake_row_store::fault::LoseReply;
  mStore.DeliverReplies();
  mStore.DeliverReplies();
  EXPECT_EQ(taker.mTokenAllowance->FreeTokens(kAccount), 0);
  mStore.mFault = fake_row_store::fault::None;
  time.Advance(std::chrono::seconds(1));
  recovery.OnTick(time.Now());
  mStore.DeliverReplies();
  EXPECT_EQ(taker.mTokenAllowance->FreeTokens(kAccount), 3000);
}

// Guards against rows that the version in production cannot read, and against
// takeovers from its rows, which state no hard limit.
TEST(claim_row_test, BothVersionsReadTheRows)
{
  const auto old = ParseClaimRow(
    R"({"run":"r","sequence":3,"stated_at_ms":9,"accounts":{"a":[50,20]}})");
  ASSERT_TRUE(old);
  EXPECT_EQ(old->mTerms.mTimeToLive, milliseconds(3300));
  EXPECT_TRUE(TakeableTokens(*old).empty());
  claim_row row = *old;
  row.mAccounts["a"] = { 50, 20, 30, 0 };
  const claim_row rest = WithoutTakeableTokens(row, "t", 7);
  EXPECT_EQ(ParseClaimRow(WriteClaimRow(rest)), rest);
  // The first two elements, which the version in production reads, no longer
  // contain the 20 tokens that were taken.
  const std::string text = WriteClaimRow(rest);
  EXPECT_NE(text.find(R"("a":[30,20,30,20,20])"), std::string::npos);
}

// Guards against a limit that falls as a claim gets older: the run that takes
// over knows only the latest time at which the earlier run can have ended.
TEST(claim_row_test, LimitRisesWithTheAge)
{
  const claim_entry entry{ 100, 60, 80, 0, 20 };
  claim_terms terms;
  terms.mTimeToLive = milliseconds(1000);
  EXPECT_EQ(LimitAt(entry, milliseconds(-5), terms), 20);
  EXPECT_EQ(LimitAt(entry, milliseconds(500), terms), 40);
  EXPECT_EQ(LimitAt(entry, milliseconds(999), terms), 59);
  EXPECT_EQ(LimitAt(entry, milliseconds(1000), terms), 80);
  // At the same rate up to the hard limit.
  terms.mKeepsRising = true;
  EXPECT_EQ(LimitAt(entry, milliseconds(1000), terms), 60);
  EXPECT_EQ(LimitAt(entry, milliseconds(1250), terms), 70);
  EXPECT_EQ(LimitAt(entry, milliseconds(9000), terms), 80);
}

// Guards against tokens that appear from rows with numbers out of range.
TEST(claim_row_test, NumbersOutOfRangeAreUnreadable)
{
  claim_row row;
  row.mAccounts["a"] = { 5, 4, 4, 0, 4 };
  const std::string claim = WriteClaimRow(row);
  const std::string grant = WriteGrantRow({ 5, "w", 1 });
  ASSERT_TRUE(ParseClaimRow(claim));
  ASSERT_TRUE(ParseGrantRow(grant));
  const std::string nested(30000, '[');
  for (const std::string& odd : { std::string("-9223372036854775808"),
                                  std::string("9223372036854775807"),
                                  std::string("18446744073709551615"),
                                  std::string("1e300"),
                                  std::string("1e999"),
                                  std::string("\"5\""),
                                  nested }) {
    SCOPED_TRACE(odd.substr(0, 30));
    for (const char* name :
         { "[5", "stated_at_ms\":0", "in_force_ms\":3300" }) {
      std::string text = claim;
      const auto digits =
        text.find(name) + std::string(name).find_first_of("0123456789");
      text.replace(digits, text.find_first_of(",}", digits) - digits, odd);
      EXPECT_FALSE(ParseClaimRow(text)) << name;
    }
    std::string text = grant;
    const auto digits = text.find('5');
    text.replace(digits, 1, odd);
    EXPECT_FALSE(ParseGrantRow(text));
  }
}
