#include "Config/ConfigImport.h"

#include "Config/ConfigRows.h"
#include "Config/FleetDocument.h"

namespace {

void AddSection(table_transaction& aTransaction,
                const document_slice& aSection,
                const import_metadata& aNote,
                config_head& aHead)
{
  ++aHead.mVersion;
  aHead.mDigest ^= SectionDigest(aSection.mName, aHead.mVersion);
  const config_section section{ aSection.mName,
                                aHead.mVersion,
                                aSection.mText };
  config_change change;
  change.mVersion = aHead.mVersion;
  change.mSection = aSection.mName;
  change.mDigest = aHead.mDigest;
  change.mOperator = aNote.mOperator;
  change.mNote = "import";
  change.mAt = aNote.mAt;
  aTransaction.mWrites.push_back(
    { ConfigSectionKey(aSection.mName), WriteConfigSection(section) });
  aTransaction.mWrites.push_back(
    { ConfigChangeKey(aHead.mVersion), WriteConfigChange(change) });
}

} // namespace

config_result<table_transaction> ImportDocument(std::string_view aText,
                                                std::string_view aSource,
                                                const import_metadata& aNote,
                                                const transaction_id& aId)
{
  const auto checked = ParseFleetDocument(aText, aSource);
  if (!checked) {
    return checked.error();
  }
  const auto sections = SplitDocument(aText, aSource);
  if (!sections) {
    return sections.error();
  }
  table_transaction transaction;
  transaction.mId = aId;
  transaction.mConditions.push_back({ std::string(kConfigHeadKey), 0 });
  config_head head;
  for (const document_slice& section : sections.value()) {
    AddSection(transaction, section, aNote, head);
  }
  transaction.mWrites.push_back(
    { std::string(kConfigHeadKey), WriteConfigHead(head) });
  return transaction;
}
