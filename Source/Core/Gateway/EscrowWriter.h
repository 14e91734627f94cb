#pragma once

#include <memory>
#include <string>

#include "Common/Time.h"
#include "Gateway/TokenEscrow.h"
#include "Remote/RowStore.h"

/// Carries the changes that the escrow asks for to the store, and the store's
/// replies back.
class escrow_writer
{
public:
  /// `aHost` names this host's statement; the next run here finds it.
  escrow_writer(token_escrow& aEscrow,
                row_store& aStore,
                const time_source& aTime,
                std::string aHost);
  ~escrow_writer();
  escrow_writer(const escrow_writer&) = delete;
  escrow_writer& operator=(const escrow_writer&) = delete;

  /// Draws and returns of tokens that are due.
  void WriteChanges(time_point aNow);
  /// Statement of what this node holds, if one is due.
  void WriteStatement(time_point aNow);

private:
  token_escrow& mEscrow;
  row_store& mStore;
  const time_source& mTime;
  std::string mHost;
  /// Cleared when this ends; replies may come later.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};
