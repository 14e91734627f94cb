#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Config/BucketMap.h"
#include "Config/ConfigError.h"
#include "Config/FleetSections.h"

/// New content of one section.
struct section_change
{
  std::string mName;
  /// New text of the section; without a text the section is removed.
  std::optional<std::string> mText;
  auto operator<=>(const section_change&) const = default;
};

/// The parsed, checked configuration of the fleet. Immutable; a changed copy
/// shares all unchanged sections with the original.
class fleet_document
{
public:
  /// An empty document, which is valid.
  fleet_document();

  const capacity_section& Capacity() const { return *mCapacity; }
  /// Null when there is no such entry.
  std::shared_ptr<const account_section> FindAccount(
    const account_id& aAccount) const;
  std::shared_ptr<const account_section> FindAccountByKey(
    const api_key_hash& aHash) const;
  std::shared_ptr<const budget_entry> FindBudget(
    const budget_id& aBudget) const;
  const model_settings* FindModel(const model_id& aModel) const;
  const service_settings* FindService(const service_id& aService) const;
  /// First group whose host patterns match; null when none does.
  const upstream_group* FindUpstreamGroup(std::string_view aHost) const;

  std::size_t AccountCount() const { return mAccounts.Size(); }
  std::size_t BudgetCount() const { return mBudgets.Size(); }
  void ForEachAccount(
    const std::function<void(const account_section&)>& aFunction) const;
  void ForEachBudget(
    const std::function<void(const budget_entry&)>& aFunction) const;

  /// A copy with changed sections. Checks each changed section on its own, then
  /// the references between sections. Unchanged sections are not parsed again;
  /// only their references to changed sections are checked.
  config_result<fleet_document> With(
    const std::vector<section_change>& aChanges) const;

  bool operator==(const fleet_document& aOther) const;

private:
  class builder;

  std::shared_ptr<const capacity_section> mCapacity;
  std::map<std::string, std::shared_ptr<const billing_section>> mBilling;
  bucket_map<budget_id, budget_entry> mBudgets;
  bucket_map<account_id, account_section> mAccounts;
  bucket_map<api_key_hash, account_section> mKeys;
};

/// True for a service call that must run at most once.
bool IsNotRepeatable(const service_settings& aService,
                     std::string_view aMethod,
                     std::string_view aPath);

/// One section of a whole-document file.
struct document_slice
{
  std::string mName;
  /// The section as written, with the comments that precede its key.
  std::string mText;
  /// Line of the file at which the text starts, from 1.
  int mLine = 0;
  auto operator<=>(const document_slice&) const = default;
};

/// Splits a whole document into its sections:
/// `{"billing": {...}, "capacity": {...}, "accounts": {"name": {...}}}`.
config_result<std::vector<document_slice>> SplitDocument(
  std::string_view aText,
  std::string_view aSource);

/// Reads and checks a whole document from one file.
config_result<fleet_document> ParseFleetDocument(std::string_view aText,
                                                 std::string_view aSource);
