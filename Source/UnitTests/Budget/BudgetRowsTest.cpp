#include "Budget/BudgetRows.h"

#include <gtest/gtest.h>

#include "Budget/BudgetOperations.h"
#include "Budget/ChargeWriting.h"
#include "Budget/GrantSizing.h"
#include "Common/Hash.h"

namespace {

const incarnation_id kHolder{ { "rack/1" }, 3 };
const incarnation_id kOther{ { "node-b" }, 1 };
const budget_id kBudget{ "clinic" };
const transaction_id kId{ 1, 2 };

charge Charge(int aNumber, std::int64_t aTokens)
{
  return { MakeRequestId({ "a" }, std::to_string(aNumber)),
           { "a\"ccount" },
           kBudget,
           kHolder,
           aTokens,
           wall_time(std::chrono::microseconds(7)),
           5 };
}

table_row Row(const budget_row& aRow)
{
  return { BudgetKey(kBudget), 4, FormatBudgetRow(aRow) };
}

} // namespace

// Guards against rows that do not parse to the value that was formatted.
TEST(BudgetRows, RoundTrip)
{
  const budget_row row{ 100, 40, 7, 2, { { kHolder, 50 }, { kOther, 10 } } };
  EXPECT_EQ(ParseBudgetRow(FormatBudgetRow(row)).value(), row);
  const charge_segment segment{ { Charge(1, 5), Charge(2, 0) } };
  EXPECT_EQ(ParseSegment(FormatSegment(segment), kBudget).value(), segment);
  const holder_row holder{ holder_state::Closing,
                           { kHolder, kOther },
                           { kOther } };
  EXPECT_EQ(ParseHolderRow(FormatHolderRow(holder)).value(), holder);
  EXPECT_EQ(ParseHolderKey(HolderKey(kHolder)), kHolder);
}

// Guards against the use of damaged, newer or inconsistent rows.
TEST(BudgetRows, RefusesUnusableRows)
{
  EXPECT_EQ(ParseBudgetRow("").error(), row_error::Malformed);
  EXPECT_EQ(ParseBudgetRow("{\"format\":1}").error(), row_error::Malformed);
  EXPECT_EQ(ParseBudgetRow("{\"format\":2}").error(), row_error::NewerFormat);
  EXPECT_EQ(ParseSegment("{\"format\":9}", kBudget).error(),
            row_error::NewerFormat);
  EXPECT_EQ(ParseHolderRow("{\"format\":9}").error(), row_error::NewerFormat);
  EXPECT_EQ(ParseSegment(R"({"format":1,"charges":[["x"]]})", kBudget).error(),
            row_error::Malformed);
  const budget_row over{ 100, 60, 0, 0, { { kHolder, 41 } } };
  EXPECT_EQ(ParseBudgetRow(FormatBudgetRow(over)).error(),
            row_error::Inconsistent);
}

// Guards against charges of a written-off holder that exceed the budget.
TEST(BudgetRows, ChargesAtMostTheAvailableTokens)
{
  budget_row row{ 100, 60, 0, 0, { { kHolder, 20 } } };
  const auto written = ApplyCharges(row, { Charge(1, 25), Charge(2, 30) });
  EXPECT_EQ(written.mCharges[0].mTokens, 25);
  EXPECT_EQ(written.mCharges[1].mTokens, 15);
  EXPECT_EQ(written.mUnfunded, 1U);
  EXPECT_EQ(row.mSpent, 100);
  EXPECT_EQ(row.Available(), 0);
}

// Guards against grants above the available tokens, and against the refusal of
// a request that the unreserved tokens cover.
TEST(GrantSizing, StaysWithinTheRow)
{
  const budget_settings settings;
  grant_demand demand;
  demand.mAvailable = 1000;
  demand.mRate = 1e6;
  demand.mInUse = true;
  EXPECT_EQ(ComputeGrant(demand, settings), 500);
  demand.mWaiting = 900;
  demand.mSmallestWaiting = 900;
  EXPECT_EQ(ComputeGrant(demand, settings), 900);
  demand.mWaiting = 5000;
  EXPECT_EQ(ComputeGrant(demand, settings), 1000);
  demand.mSmallestWaiting = 5000;
  demand.mInUse = false;
  EXPECT_EQ(ComputeGrant(demand, settings), 0);
  demand.mReserved = 2000;
  EXPECT_EQ(ComputeGrant(demand, settings), 1000);
}

// Guards against free tokens at several nodes that are too few for any request.
TEST(GrantSizing, ReturnsSmallRemaindersOfAScarceBudget)
{
  grant_demand demand;
  demand.mAvailable = 100;
  demand.mGrant = 50;
  demand.mLargestRequest = 80;
  demand.mInUse = true;
  demand.mScarce = true;
  EXPECT_EQ(ComputeGrant(demand, budget_settings()), 0);
}

// Guards against operations that overwrite a budget or use an invalid amount.
TEST(BudgetOperations, CreateAndTopUp)
{
  EXPECT_EQ(CreateBudget({ "a/b" }, {}, 5, kId).error(),
            budget_operation_error::BadName);
  EXPECT_EQ(CreateBudget(kBudget, {}, 0, kId).error(),
            budget_operation_error::BadAmount);
  EXPECT_EQ(CreateBudget(kBudget, Row({}), 5, kId).error(),
            budget_operation_error::Exists);
  EXPECT_EQ(TopUpBudget(kBudget, {}, 5, kId).error(),
            budget_operation_error::Missing);
  const auto topped =
    TopUpBudget(kBudget, Row({ 100, 100, 0, 0, {} }), 5, kId).value();
  EXPECT_EQ(topped.mConditions[0].mVersion, 4U);
  EXPECT_EQ(ParseBudgetRow(*topped.mWrites[0].mValue).value().mTotal, 105);
  const table_row newer{ BudgetKey(kBudget), 1, "{\"format\":2}" };
  EXPECT_EQ(TopUpBudget(kBudget, newer, 5, kId).error(),
            budget_operation_error::NewerFormat);
}

// Guards against a write-off that returns grants while the holder can still
// write.
TEST(BudgetOperations, WriteOffFencesFirst)
{
  const table_row open{ HolderKey(kHolder), 6, FormatHolderRow({}) };
  const auto fenced = WriteOffHolder(kHolder, open, kId).value();
  EXPECT_EQ(fenced.mConditions[0].mVersion, 6U);
  EXPECT_EQ(ParseHolderRow(*fenced.mWrites[0].mValue).value().mState,
            holder_state::WrittenOff);
  const auto returned = ReturnGrants(
    kHolder, 7, { Row({ 100, 10, 0, 0, { { kHolder, 30 } } }) }, kId);
  EXPECT_EQ(returned.mTokens, 30);
  EXPECT_EQ(returned.mTransaction.mConditions.back().mVersion, 7U);
  EXPECT_TRUE(ParseBudgetRow(*returned.mTransaction.mWrites[0].mValue)
                .value()
                .mOutstanding.empty());
}

// Guards against a kind of inconsistency that the reconciliation misses.
TEST(BudgetOperations, ReconcileFindsDamage)
{
  const auto segment = [](std::uint64_t aNumber,
                          const charge_segment& aSegment) {
    return table_row{ SegmentKey(kBudget, aNumber),
                      1,
                      FormatSegment(aSegment) };
  };
  const table_row first = segment(0, { { Charge(1, 5) } });
  const table_row second = segment(1, { { Charge(2, 6) } });
  const table_row twice = segment(1, { { Charge(1, 6) } });
  const table_row row = Row({ 100, 11, 2, 0, {} });
  const auto kinds = [&](const std::vector<table_row>& aSegments) {
    std::vector<finding_kind> found;
    for (const finding& item : Reconcile(kBudget, row, aSegments).mFindings) {
      found.push_back(item.mKind);
    }
    return found;
  };
  using enum finding_kind;
  EXPECT_TRUE(Reconcile(kBudget, row, { first, second }).IsClean());
  EXPECT_EQ(kinds({ first, twice }), std::vector{ DuplicateCharge });
  EXPECT_EQ(kinds({ first }), (std::vector{ MissingSegment, SpentMismatch }));
  EXPECT_EQ(kinds({ first, second, segment(2, {}) }),
            std::vector{ ExtraSegment });
  EXPECT_EQ(kinds({ first, { second.mKey, 1, "?" } }),
            (std::vector{ UnreadableSegment, SpentMismatch }));
  const auto over = Row({ 10, 11, 0, 0, {} });
  EXPECT_EQ(Reconcile(kBudget, over, {}).mFindings[0].mKind, Overspent);
}
