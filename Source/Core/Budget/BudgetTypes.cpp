#include "Budget/BudgetTypes.h"

std::string_view BudgetErrorName(budget_error aError)
{
  switch (aError) {
    case budget_error::UnknownBudget:
      return "unknown_budget";
    case budget_error::Exhausted:
      return "exhausted";
    case budget_error::AwaitingGrant:
      return "awaiting_grant";
    case budget_error::DuplicateOpen:
      return "duplicate_open";
    case budget_error::AlreadyCharged:
      return "already_charged";
    case budget_error::Fenced:
      return "fenced";
    case budget_error::Unprotected:
      return "unprotected";
    case budget_error::ShuttingDown:
      return "shutting_down";
    case budget_error::UnreadableRow:
      return "unreadable_row";
    case budget_error::BadAmount:
      return "bad_amount";
  }
  return "unknown";
}
