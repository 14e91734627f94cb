#include "Node/AdminApi.h"

#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/JsonText.h"
#include "Common/Log.h"
#include "Config/ConfigImport.h"
#include "Config/ConfigRows.h"
#include "Node/NodeApp.h"
#include "Node/NodeStatus.h"

namespace {

using json = nlohmann::json;

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::chrono::seconds kEditTimeout(10);
constexpr std::uint32_t kScanPageSize = 200;
// Committing the same transaction again is safe when a reply was lost: the
// table service applies a transaction id once.
constexpr unsigned kMaxImportAttempts = 5;
constexpr std::uint64_t kDefaultHistoryCount = 20;
constexpr std::uint64_t kMaxHistoryCount = 200;

/// Compares in constant time, so that the duration does not reveal how many
/// leading characters of a guess are right.
bool SecretsMatch(std::string_view aExpected, std::string_view aActual)
{
  unsigned difference = aExpected.size() == aActual.size() ? 0 : 1;
  for (std::size_t i = 0; i < aExpected.size(); ++i) {
    const char actual = i < aActual.size() ? aActual[i] : '\0';
    difference |= static_cast<unsigned char>(aExpected[i] ^ actual);
  }
  return difference == 0;
}

unsigned HttpStatusOf(edit_status aStatus)
{
  switch (aStatus) {
    case edit_status::Committed:
      return SOUP_STATUS_OK;
    case edit_status::Conflict:
      return SOUP_STATUS_CONFLICT;
    case edit_status::Forbidden:
      return SOUP_STATUS_FORBIDDEN;
    case edit_status::Invalid:
      return SOUP_STATUS_BAD_REQUEST;
    case edit_status::Unavailable:
    case edit_status::Unknown:
      return SOUP_STATUS_SERVICE_UNAVAILABLE;
  }
  return SOUP_STATUS_INTERNAL_SERVER_ERROR;
}

json FormatOutcome(const edit_outcome& aOutcome)
{
  json body = { { "status", EditStatusName(aOutcome.mStatus) },
                { "version", aOutcome.mVersion },
                { "message", aOutcome.mMessage } };
  if (aOutcome.mStatus == edit_status::Conflict) {
    body["base_version"] = aOutcome.mBaseVersion;
    body["stored_version"] = aOutcome.mStoredVersion;
    body["stored_text"] = aOutcome.mStoredText.value_or("");
  }
  return body;
}

json FormatSection(const config_section& aSection)
{
  return { { "section", aSection.mName },
           { "version", aSection.mVersion },
           { "text", aSection.mText ? json(*aSection.mText) : json() } };
}

json FormatChange(const config_change& aChange)
{
  return { { "version", aChange.mVersion },
           { "section", aChange.mSection },
           { "removed", aChange.mRemoved },
           { "operator", aChange.mOperator },
           { "note", aChange.mNote },
           { "at_us", aChange.mAt.time_since_epoch().count() } };
}

std::uint64_t ParseHistoryCount(std::string_view aText)
{
  std::uint64_t count = kDefaultHistoryCount;
  std::from_chars(aText.data(), aText.data() + aText.size(), count);
  return std::min(count, kMaxHistoryCount);
}

/// Parses the body of `POST /admin/v1/config`:
/// `{"section","text","base_version","note"}`. A null text removes the
/// section; the note is optional.
bool ParseEdit(std::string_view aBody,
               section_edit& aEdit,
               std::string& aMessage)
{
  const auto text = ParseJsonText(aBody, "body");
  if (!text) {
    aMessage = FormatJsonError(text.error());
    return false;
  }
  const json& body = text.value().mValue;
  const bool wellFormed =
    body.is_object() && body.contains("section") &&
    body.at("section").is_string() && body.contains("text") &&
    (body.at("text").is_string() || body.at("text").is_null()) &&
    body.contains("base_version") &&
    body.at("base_version").is_number_unsigned();
  if (!wellFormed) {
    aMessage = "body: expected section, text and base_version";
    return false;
  }
  aEdit.mSection = body.at("section").get<std::string>();
  if (body.at("text").is_string()) {
    aEdit.mText = body.at("text").get<std::string>();
  }
  aEdit.mBaseVersion = body.at("base_version").get<std::uint64_t>();
  if (body.contains("note") && body.at("note").is_string()) {
    aEdit.mNote = body.at("note").get<std::string>();
  }
  return true;
}

} // namespace

admin_api::admin_api(node_app& aNode)
  : mNode(aNode)
  , mRandom(std::random_device{}())
  , mBudgets(aNode.Table(), aNode.Time())
{
}

admin_api::~admin_api() = default;

void admin_api::Accept(const http_server_exchange_ptr& aExchange)
{
  const operator_key* key = FindOperator(aExchange->Header("Authorization"));
  if (key == nullptr) {
    aExchange->ReplyError(SOUP_STATUS_UNAUTHORIZED,
                          "invalid_operator_key",
                          "Authorization: expected Bearer ID:SECRET of an "
                          "operator key");
    return;
  }
  Route(aExchange, *key);
}

const operator_key* admin_api::FindOperator(
  std::string_view aAuthorization) const
{
  if (!aAuthorization.starts_with(kBearerPrefix)) {
    return nullptr;
  }
  aAuthorization.remove_prefix(kBearerPrefix.size());
  const std::size_t colon = aAuthorization.find(':');
  if (colon == std::string_view::npos) {
    return nullptr;
  }
  const std::string_view id = aAuthorization.substr(0, colon);
  const std::string_view secret = aAuthorization.substr(colon + 1);
  for (const operator_key& key : mNode.Settings().mOperatorKeys) {
    if (key.mId == id && SecretsMatch(key.mSecret, secret)) {
      return &key;
    }
  }
  return nullptr;
}

void admin_api::Route(const http_server_exchange_ptr& aExchange,
                      const operator_key& aOperator)
{
  const std::string_view path = aExchange->Path();
  const bool isGet = aExchange->Method() == "GET";
  if (path == "/admin/v1/status" && isGet) {
    aExchange->ReplyJson(SOUP_STATUS_OK, FormatNodeStatus(mNode));
  } else if (path == "/admin/v1/drain" && !isGet) {
    StartDraining(aExchange);
  } else if (path == "/admin/v1/config" && isGet) {
    GetConfig(aExchange);
  } else if (path == "/admin/v1/config" && !isGet) {
    PutConfig(aExchange, aOperator);
  } else if (path == "/admin/v1/config/import" && !isGet) {
    ImportConfig(aExchange, aOperator);
  } else if (path == "/admin/v1/config/history" && isGet) {
    GetHistory(aExchange);
  } else if (path.starts_with("/admin/v1/budgets")) {
    if (!isGet && !OwnsSection(aOperator, "billing")) {
      aExchange->ReplyError(SOUP_STATUS_FORBIDDEN,
                            "not_owner",
                            "this operator key does not own billing");
      return;
    }
    mBudgets.Accept(aExchange);
  } else {
    aExchange->ReplyError(
      SOUP_STATUS_NOT_FOUND, "not_found", "no such operator command");
  }
}

void admin_api::StartDraining(const http_server_exchange_ptr& aExchange)
{
  mNode.Stop();
  aExchange->ReplyJson(SOUP_STATUS_ACCEPTED,
                       { { "phase", NodePhaseName(mNode.Phase()) } });
}

void admin_api::GetConfig(const http_server_exchange_ptr& aExchange)
{
  const std::string section = aExchange->Query("section");
  if (section.empty()) {
    ScanSections(aExchange,
                 std::string(kConfigSectionPrefix),
                 std::make_shared<std::vector<table_row>>());
    return;
  }
  ReadRows(aExchange,
           { ConfigSectionKey(section) },
           [aExchange](const std::vector<table_row>& aRows) {
             if (aRows.empty() || aRows.front().mVersion == 0) {
               aExchange->ReplyError(
                 SOUP_STATUS_NOT_FOUND, "unknown_section", "no such section");
               return;
             }
             const auto stored = ReadConfigSection(aRows.front().mValue);
             if (!stored) {
               aExchange->ReplyError(SOUP_STATUS_INTERNAL_SERVER_ERROR,
                                     "unreadable_section",
                                     "the stored section cannot be read");
               return;
             }
             aExchange->ReplyJson(SOUP_STATUS_OK,
                                  FormatSection(stored.value()));
           });
}

void admin_api::ScanSections(
  const http_server_exchange_ptr& aExchange,
  std::string aAfter,
  const std::shared_ptr<std::vector<table_row>>& aRows)
{
  table_scan scan{ std::string(kConfigSectionPrefix),
                   std::move(aAfter),
                   kScanPageSize };
  mNode.Table().Scan(
    std::move(scan), [this, aExchange, aRows](const rows_result& aReply) {
      if (aReply.has_error()) {
        aExchange->ReplyError(SOUP_STATUS_SERVICE_UNAVAILABLE,
                              "store_unavailable",
                              TableErrorName(aReply.error()));
        return;
      }
      const auto& page = aReply.value();
      aRows->insert(aRows->end(), page.begin(), page.end());
      if (page.size() == kScanPageSize) {
        ScanSections(aExchange, page.back().mKey, aRows);
        return;
      }
      json sections = json::array();
      for (const table_row& row : *aRows) {
        const auto stored = ReadConfigSection(row.mValue);
        if (stored && stored.value().mText) {
          sections.push_back(FormatSection(stored.value()));
        }
      }
      aExchange->ReplyJson(SOUP_STATUS_OK,
                           { { "sections", std::move(sections) } });
    });
}

void admin_api::GetHistory(const http_server_exchange_ptr& aExchange)
{
  const std::uint64_t count = ParseHistoryCount(aExchange->Query("count"));
  const std::uint64_t newest = mNode.Config().Current().mVersion;
  ReadRows(aExchange,
           HistoryKeys(newest, count),
           [aExchange](const std::vector<table_row>& aRows) {
             json changes = json::array();
             for (const table_row& row : aRows) {
               const auto change = ReadConfigChange(row.mValue);
               if (change) {
                 changes.push_back(FormatChange(change.value()));
               }
             }
             aExchange->ReplyJson(SOUP_STATUS_OK,
                                  { { "changes", std::move(changes) } });
           });
}

void admin_api::PutConfig(const http_server_exchange_ptr& aExchange,
                          const operator_key& aOperator)
{
  section_edit edit;
  std::string message;
  if (!ParseEdit(aExchange->Body(), edit, message)) {
    aExchange->ReplyError(SOUP_STATUS_BAD_REQUEST, "invalid_request", message);
    return;
  }
  edit.mOperatorId = aOperator.mId;
  edit.mOperatorSecret = aOperator.mSecret;
  auto editor = std::make_shared<config_editor>(
    mNode.Settings().mOperatorKeys, mRandom(), config_editor_options{});
  const time_point now = mNode.Time().Now();
  editor->Put(std::move(edit), mNode.Time().WallNow(), now, now + kEditTimeout);
  mEdits.push_back({ aExchange, std::move(editor) });
  Tick(now);
}

/// Stores the first configuration document of a fleet. Fails when there is a
/// configuration already.
void admin_api::ImportConfig(const http_server_exchange_ptr& aExchange,
                             const operator_key& aOperator)
{
  if (!OwnsSection(aOperator, "billing") ||
      !OwnsSection(aOperator, "capacity")) {
    aExchange->ReplyError(SOUP_STATUS_FORBIDDEN,
                          "not_owner",
                          "an import needs a key that owns every section");
    return;
  }
  const import_metadata note{ aOperator.mId, mNode.Time().WallNow() };
  const auto transaction = ImportDocument(
    aExchange->Body(), "document", note, { mRandom(), mRandom() });
  if (!transaction) {
    aExchange->ReplyError(SOUP_STATUS_BAD_REQUEST,
                          "invalid_document",
                          FormatConfigErrors(transaction.error()));
    return;
  }
  CommitImport(aExchange, transaction.value(), 1);
}

void admin_api::CommitImport(const http_server_exchange_ptr& aExchange,
                             const table_transaction& aTransaction,
                             unsigned aAttempt)
{
  mNode.Table().Commit(
    aTransaction,
    [this, aExchange, aTransaction, aAttempt](
      const result<commit_reply, table_error>& aReply) {
      if (aReply.has_error() && aAttempt < kMaxImportAttempts) {
        CommitImport(aExchange, aTransaction, aAttempt + 1);
      } else if (aReply.has_error()) {
        aExchange->ReplyError(SOUP_STATUS_SERVICE_UNAVAILABLE,
                              "store_unavailable",
                              TableErrorName(aReply.error()));
      } else if (!aReply.value().mCommitted) {
        aExchange->ReplyError(
          SOUP_STATUS_CONFLICT, "exists", "there is a configuration already");
      } else {
        mNode.RefreshConfig();
        aExchange->ReplyJson(SOUP_STATUS_OK, { { "imported", true } });
      }
    });
}

void admin_api::Tick(time_point aNow)
{
  std::vector<pending_edit> pending;
  pending.swap(mEdits);
  for (pending_edit& edit : pending) {
    mNode.TableDriver().Run(edit.mEditor, edit.mEditor->Tick(aNow));
    if (edit.mEditor->Outcome()) {
      ReplyEditOutcome(edit);
    } else {
      mEdits.push_back(std::move(edit));
    }
  }
}

void admin_api::ReplyEditOutcome(const pending_edit& aEdit)
{
  const edit_outcome& outcome = *aEdit.mEditor->Outcome();
  if (outcome.mStatus == edit_status::Committed) {
    mNode.RefreshConfig();
    Log(log_level::Info,
        "config_committed",
        { Field("version", outcome.mVersion) });
  }
  aEdit.mExchange->ReplyJson(HttpStatusOf(outcome.mStatus),
                             FormatOutcome(outcome));
}

void admin_api::ReadRows(const http_server_exchange_ptr& aExchange,
                         std::vector<std::string> aKeys,
                         rows_handler aHandler)
{
  mNode.Table().Read(
    std::move(aKeys),
    [aExchange, aHandler = std::move(aHandler)](const rows_result& aReply) {
      if (aReply.has_error()) {
        aExchange->ReplyError(SOUP_STATUS_SERVICE_UNAVAILABLE,
                              "store_unavailable",
                              TableErrorName(aReply.error()));
        return;
      }
      aHandler(aReply.value());
    });
}
