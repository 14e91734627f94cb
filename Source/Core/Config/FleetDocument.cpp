#include "Config/FleetDocument.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace {

// A removed budget can invalidate thousands of accounts; the first errors show
// the cause.
constexpr std::size_t kMaxReferenceErrors = 50;

constexpr std::string_view kAccountPrefix = "accounts/";

bool IsAccountName(std::string_view aName)
{
  return aName.starts_with(kAccountPrefix);
}

account_id AccountIdOf(std::string_view aName)
{
  return { std::string(aName.substr(kAccountPrefix.size())) };
}

std::string SectionNameOf(const account_id& aAccount)
{
  return std::string(kAccountPrefix) + aAccount.mName;
}

bool IsBillingName(std::string_view aName)
{
  return aName == "billing" || aName.starts_with("billing/");
}

/// Fills in the line numbers of errors in changed sections. Parses the texts
/// again, so it is only called when there are errors.
void FillErrorLines(const std::vector<section_change>& aChanges,
                    std::vector<json_error>& aErrors)
{
  for (const section_change& change : aChanges) {
    const auto affected = [&change](const json_error& aError) {
      return aError.mLine == 0 && aError.mSource == change.mName;
    };
    if (!change.mText || std::ranges::none_of(aErrors, affected)) {
      continue;
    }
    const auto text = ParseJsonText(*change.mText, change.mName);
    if (text.has_error()) {
      continue;
    }
    for (json_error& error : aErrors) {
      if (affected(error)) {
        error.mLine = text.value().LineOf(error.mPointer);
      }
    }
  }
}

} // namespace

/// Changes sections of a copy and checks the references between sections.
class fleet_document::builder
{
public:
  explicit builder(const fleet_document& aDocument)
    : mDocument(aDocument)
    , mOldCapacity(aDocument.mCapacity)
  {
  }

  /// Removes what the old form of a section defined.
  void Remove(const std::string& aName)
  {
    if (IsAccountName(aName)) {
      RemoveAccount(AccountIdOf(aName));
    } else if (IsBillingName(aName)) {
      RemoveBilling(aName);
    } else {
      mDocument.mCapacity = std::make_shared<capacity_section>();
    }
  }

  /// Adds the new form of a section, after all old forms were removed.
  void Add(const std::string& aName, fleet_section aSection)
  {
    if (auto* account = std::get_if<account_section>(&aSection)) {
      AddAccount(std::move(*account));
    } else if (auto* billing = std::get_if<billing_section>(&aSection)) {
      AddBilling(aName, std::move(*billing));
    } else {
      mDocument.mCapacity = std::make_shared<capacity_section>(
        std::get<capacity_section>(std::move(aSection)));
    }
  }

  /// Checks what a change can have made invalid: changed sections, the
  /// accounts of changed budgets, and everything when a model was removed.
  /// Checking all of 9,800 accounts blocks the loop for 35 ms.
  void Check()
  {
    const bool checkAll = RemovesModel();
    for (const auto& [name, billing] : mDocument.mBilling) {
      if (checkAll || mChangedBilling.contains(name)) {
        CheckBilling(name, *billing);
      }
    }
    if (checkAll) {
      mDocument.ForEachAccount(
        [this](const account_section& aAccount) { CheckAccount(aAccount); });
      return;
    }
    for (const account_id& account : mAffectedAccounts) {
      if (const auto section = mDocument.FindAccount(account)) {
        CheckAccount(*section);
      }
    }
  }

  fleet_document TakeDocument() { return std::move(mDocument); }
  std::vector<json_error> TakeErrors() { return std::move(mErrors); }

private:
  bool RemovesModel() const
  {
    return std::ranges::any_of(mOldCapacity->mModels, [this](const auto& aOld) {
      return mDocument.FindModel(aOld.first) == nullptr;
    });
  }

  /// Marks the accounts of a billing section to be checked. A budget lists
  /// every account that may spend from it, so no other account depends on the
  /// section.
  void MarkAccounts(const billing_section& aBilling)
  {
    for (const budget_entry& budget : aBilling.mBudgets) {
      mAffectedAccounts.insert(budget.mAccounts.begin(),
                               budget.mAccounts.end());
    }
  }

  void AddError(std::string aSource, std::string aPointer, std::string aMessage)
  {
    if (mErrors.size() < kMaxReferenceErrors) {
      mErrors.push_back(
        { std::move(aSource), 0, std::move(aPointer), std::move(aMessage) });
    }
  }

  void RemoveAccount(const account_id& aAccount)
  {
    const auto old = mDocument.mAccounts.Find(aAccount);
    if (old == nullptr) {
      return;
    }
    for (const api_key_hash& hash : old->mKeyHashes) {
      mDocument.mKeys.Remove(hash);
    }
    mDocument.mAccounts.Remove(aAccount);
  }

  void RemoveBilling(const std::string& aName)
  {
    const auto old = mDocument.mBilling.find(aName);
    if (old == mDocument.mBilling.end()) {
      return;
    }
    MarkAccounts(*old->second);
    for (const auto& budget : old->second->mBudgets) {
      mDocument.mBudgets.Remove(budget.mId);
    }
    mDocument.mBilling.erase(old);
  }

  void AddAccount(account_section aAccount)
  {
    const auto account =
      std::make_shared<const account_section>(std::move(aAccount));
    for (std::size_t i = 0; i < account->mKeyHashes.size(); ++i) {
      const api_key_hash& hash = account->mKeyHashes[i];
      const auto other = mDocument.mKeys.Find(hash);
      if (other != nullptr && other->mId != account->mId) {
        AddError(
          SectionNameOf(account->mId),
          fmt::format("/key_hashes/{}", i),
          fmt::format("account \"{}\" has the same key", other->mId.mName));
        continue;
      }
      mDocument.mKeys.Put(hash, account);
    }
    mDocument.mAccounts.Put(account->mId, account);
    mAffectedAccounts.insert(account->mId);
  }

  void AddBilling(const std::string& aName, billing_section aBilling)
  {
    const auto billing =
      std::make_shared<const billing_section>(std::move(aBilling));
    for (const budget_entry& budget : billing->mBudgets) {
      if (mDocument.mBudgets.Find(budget.mId) != nullptr) {
        AddError(aName,
                 fmt::format("/budgets/{}", budget.mId.mName),
                 "another billing section has the same budget");
        continue;
      }
      // The pointer shares ownership of the section that contains the budget.
      mDocument.mBudgets.Put(
        budget.mId, std::shared_ptr<const budget_entry>(billing, &budget));
    }
    mDocument.mBilling[aName] = billing;
    mChangedBilling.insert(aName);
    MarkAccounts(*billing);
  }

  std::string UnknownModelMessage(const model_id& aModel) const
  {
    std::vector<std::string> known;
    for (const auto& [id, model] : mDocument.Capacity().mModels) {
      known.push_back(id.mName);
    }
    const std::string nearest = NearestWord(aModel.mName, known);
    return fmt::format(
      "unknown model \"{}\"{}",
      aModel.mName,
      nearest.empty() ? "" : fmt::format(", did you mean \"{}\"?", nearest));
  }

  void CheckBilling(const std::string& aName, const billing_section& aBilling)
  {
    std::set<model_id> unknown;
    for (const budget_entry& budget : aBilling.mBudgets) {
      for (const auto& [model, price] : budget.mPrices.Entries()) {
        if (mDocument.FindModel(model) == nullptr) {
          unknown.insert(model);
        }
      }
    }
    for (const model_id& model : unknown) {
      AddError(aName, "/prices/" + model.mName, UnknownModelMessage(model));
    }
  }

  void CheckAccount(const account_section& aAccount)
  {
    const auto budget = mDocument.FindBudget(aAccount.mBudget);
    if (budget == nullptr) {
      AddError(SectionNameOf(aAccount.mId),
               "/budget",
               fmt::format("unknown budget \"{}\"", aAccount.mBudget.mName));
    } else if (std::ranges::find(budget->mAccounts, aAccount.mId) ==
               budget->mAccounts.end()) {
      AddError(SectionNameOf(aAccount.mId),
               "/budget",
               fmt::format("budget \"{}\" does not list account \"{}\"",
                           aAccount.mBudget.mName,
                           aAccount.mId.mName));
    }
    for (std::size_t i = 0; i < aAccount.mAllowedModels.size(); ++i) {
      CheckAllowedModel(aAccount, i, budget.get());
    }
  }

  void CheckAllowedModel(const account_section& aAccount,
                         std::size_t aIndex,
                         const budget_entry* aBudget)
  {
    const model_id& model = aAccount.mAllowedModels[aIndex];
    const std::string pointer = fmt::format("/allowed_models/{}", aIndex);
    if (mDocument.FindModel(model) == nullptr) {
      AddError(
        SectionNameOf(aAccount.mId), pointer, UnknownModelMessage(model));
    } else if (aBudget != nullptr && !aBudget->mPrices.Contains(model)) {
      AddError(SectionNameOf(aAccount.mId),
               pointer,
               fmt::format("budget \"{}\" has no price for model \"{}\"",
                           aBudget->mId.mName,
                           model.mName));
    }
  }

  fleet_document mDocument;
  std::vector<json_error> mErrors;
  std::shared_ptr<const capacity_section> mOldCapacity;
  std::set<std::string> mChangedBilling;
  std::set<account_id> mAffectedAccounts;
};

fleet_document::fleet_document()
  : mCapacity(std::make_shared<capacity_section>())
{
}

std::shared_ptr<const account_section> fleet_document::FindAccount(
  const account_id& aAccount) const
{
  return mAccounts.Find(aAccount);
}

std::shared_ptr<const account_section> fleet_document::FindAccountByKey(
  const api_key_hash& aHash) const
{
  return mKeys.Find(aHash);
}

std::shared_ptr<const budget_entry> fleet_document::FindBudget(
  const budget_id& aBudget) const
{
  return mBudgets.Find(aBudget);
}

const model_settings* fleet_document::FindModel(const model_id& aModel) const
{
  const auto found = mCapacity->mModels.find(aModel);
  return found == mCapacity->mModels.end() ? nullptr : &found->second;
}

const service_settings* fleet_document::FindService(
  const service_id& aService) const
{
  const auto found = mCapacity->mServices.find(aService);
  return found == mCapacity->mServices.end() ? nullptr : &found->second;
}

const upstream_group* fleet_document::FindUpstreamGroup(
  std::string_view aHost) const
{
  for (const upstream_group& group : mCapacity->mUpstreamGroups) {
    const auto matches = [aHost](const std::string& aPattern) {
      return MatchesPattern(aPattern, aHost);
    };
    if (std::ranges::any_of(group.mHosts, matches)) {
      return &group;
    }
  }
  return nullptr;
}

void fleet_document::ForEachAccount(
  const std::function<void(const account_section&)>& aFunction) const
{
  mAccounts.ForEach([&aFunction](const account_id&, const auto& aAccount) {
    aFunction(*aAccount);
  });
}

void fleet_document::ForEachBudget(
  const std::function<void(const budget_entry&)>& aFunction) const
{
  mBudgets.ForEach([&aFunction](const budget_id&, const auto& aBudget) {
    aFunction(*aBudget);
  });
}

config_result<fleet_document> fleet_document::With(
  const std::vector<section_change>& aChanges) const
{
  config_errors errors;
  std::vector<std::pair<const section_change*, fleet_section>> parsed;
  builder changed(*this);
  for (const section_change& change : aChanges) {
    auto section = ParseSection(change.mName, change.mText.value_or("{}"));
    const bool removed = !change.mText && IsSectionName(change.mName);
    if (!removed && section.has_error()) {
      const auto& sectionErrors = section.error().mErrors;
      errors.mErrors.insert(
        errors.mErrors.end(), sectionErrors.begin(), sectionErrors.end());
      continue;
    }
    changed.Remove(change.mName);
    if (change.mText) {
      parsed.emplace_back(&change, std::move(section.value()));
    }
  }
  if (!errors.mErrors.empty()) {
    return errors;
  }
  for (auto& [change, section] : parsed) {
    changed.Add(change->mName, std::move(section));
  }
  changed.Check();
  errors.mErrors = changed.TakeErrors();
  if (!errors.mErrors.empty()) {
    FillErrorLines(aChanges, errors.mErrors);
    return errors;
  }
  return changed.TakeDocument();
}

bool fleet_document::operator==(const fleet_document& aOther) const
{
  return *mCapacity == *aOther.mCapacity && mBudgets == aOther.mBudgets &&
         mAccounts == aOther.mAccounts;
}

bool IsNotRepeatable(const service_settings& aService,
                     std::string_view aMethod,
                     std::string_view aPath)
{
  return std::ranges::any_of(aService.mNotRepeatable,
                             [&](const call_pattern& aPattern) {
                               return aPattern.mMethod == aMethod &&
                                      MatchesPattern(aPattern.mPath, aPath);
                             });
}
