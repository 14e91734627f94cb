#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Identity.h"

/// A client account of the demo and its API key.
struct demo_account
{
  std::string mName;
  std::string mKey;
  work_rank mRank = work_rank::Routine;
  bool mFreeTier = false;
  double mWeight = 1;
  /// Prepaid tokens of the account's budget; 0 for the free tier.
  std::int64_t mPrepaid = 0;
};

/// Accounts of the demo: a few large ones, small ones, one free.
std::vector<demo_account> DemoAccounts();

/// Fleet document for the demo's stand-ins, as JSON with comments.
std::string DemoDocument(const std::vector<demo_account>& aAccounts);
