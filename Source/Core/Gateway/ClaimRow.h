#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A claim: stored row in which a node records the tokens that it received, so
/// that the next run on the same host, or another node, can take over what the
/// node cannot have used.

/// Time for which the claims of versions that do not state it are in force.
constexpr std::chrono::milliseconds kDefaultClaimTimeToLive(3300);

/// Claim for one account.
struct claim_entry
{
  /// Tokens that the run received, without those that others took over.
  std::int64_t mReceived = 0;
  /// Limit of the tokens that the run may have passed out by the time the claim
  /// expires.
  std::int64_t mSpendLimit = 0;
  /// Limit that holds for ever, at least `mSpendLimit`: the run passes out no
  /// more until a claim with a higher limit has replaced this one in the store.
  /// Equal to `mReceived` in rows of versions that do not state it.
  std::int64_t mHardLimit = 0;
  /// Tokens that other nodes took over since the run wrote the row.
  std::int64_t mTaken = 0;
  /// Limit at the start of the claim, from which the limit rises evenly to
  /// `mSpendLimit` when it expires. Equal to `mSpendLimit` in rows of versions
  /// that do not state it.
  std::int64_t mStartLimit = mSpendLimit;
  auto operator<=>(const claim_entry&) const = default;
};

/// How the limits of a claim rise with its age.
struct claim_terms
{
  /// Age at which the spend limits are reached.
  std::chrono::milliseconds mTimeToLive = kDefaultClaimTimeToLive;
  /// Whether the limits go on rising at the same rate after the time to live,
  /// up to the hard limits. If not, the hard limits apply from then on.
  bool mKeepsRising = false;
  /// Age at which the limits stop rising, unless a quorum of the witnesses
  /// states that the store is lost.
  std::chrono::milliseconds mRisesAloneFor{ 0 };
  /// Other runs that state their contact to the store, see `store_contact`.
  /// Without witnesses nothing stops the limits.
  std::vector<std::uint64_t> mWitnesses{};
  auto operator<=>(const claim_terms&) const = default;

  /// Witnesses that must have lost the store for the limits to rise further.
  std::size_t Quorum() const { return mWitnesses.size() / 2 + 1; }
  /// Witnesses in contact with the store that prove that there was no quorum.
  std::size_t ProofCount() const { return mWitnesses.size() - Quorum() + 1; }
  /// Age up to which the limits have risen at this age.
  std::chrono::milliseconds EffectiveAge(std::chrono::milliseconds aAge,
                                         bool aQuorum) const
  {
    return mWitnesses.empty() || aQuorum ? aAge
                                         : std::min(aAge, mRisesAloneFor);
  }
};

/// Tokens that the run may have passed out when the limits of the claim have
/// risen up to this age.
std::int64_t LimitAt(const claim_entry& aEntry,
                     std::chrono::milliseconds aAge,
                     const claim_terms& aTerms);

struct claim_row
{
  std::string mRun;
  std::uint64_t mSequence = 0;
  /// Start of the claim by the store's clock.
  std::chrono::milliseconds mStartsAt{ 0 };
  claim_terms mTerms;
  std::map<std::string, claim_entry> mAccounts;
  /// Era of the store in which the row was written; 0 if not known. Nothing is
  /// taken over by a claim of an earlier era, because its owner may have spent
  /// more under one that the store has lost.
  std::uint64_t mEra = 0;
  /// Run that took tokens over last, and the version of the row that it
  /// replaced; empty and 0 if none did since the owner wrote the row.
  std::string mTaker;
  std::uint64_t mTakenFrom = 0;
  auto operator<=>(const claim_row&) const = default;
};

std::string WriteClaimRow(const claim_row& aRow);
/// Returns nothing if the text is not a claim.
std::optional<claim_row> ParseClaimRow(std::string_view aText);

/// Tokens by account.
using claimed_tokens = std::map<std::string, std::int64_t>;

/// Tokens above the hard limits, which any node may take over by replacing the
/// row under its version.
claimed_tokens TakeableTokens(const claim_row& aRow);
/// The row that replaces `aRow`, of version `aVersion`, when the run `aTaker`
/// takes over all of its takeable tokens.
claim_row WithoutTakeableTokens(const claim_row& aRow,
                                const std::string& aTaker,
                                std::uint64_t aVersion);
