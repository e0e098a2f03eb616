#pragma once

#include "Coordination/NodeEvents.h"

namespace teaselhold::coordination {

/// Adds an empty message and returns its envelope; NodeCore fills in the
/// sender. The reference is valid until the next command is added.
inline wire::Envelope&
AddMessage(Commands& aCommands, const std::string& aAddress)
{
  aCommands.push_back(SendMessage{ aAddress, {} });
  return std::get<SendMessage>(aCommands.back()).envelope;
}

inline void
AddLog(Commands& aCommands,
       LogLevel aLevel,
       std::string_view aPart,
       std::string aMessage)
{
  aCommands.push_back(WriteLog{ aLevel, aPart, std::move(aMessage) });
}

/// What the parts of the membership need in each step.
struct Step
{
  state::Instant now;
  /// The head that this node puts into its messages.
  const wire::Head& head;
  Commands& commands;
};

} // namespace teaselhold::coordination
