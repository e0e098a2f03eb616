#pragma once

#include "Coordination/NodeEvents.h"

namespace teaselhold::coordination {

/// Adds a command that sends an empty message, and returns the envelope to
/// fill. RelayCore fills in the sender. The reference is valid until the next
/// command is added.
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

/// The inputs and the command list of one event that RelayCore handles.
struct StepContext
{
  state::Instant now;
  /// The configuration generations that this node reports in its messages.
  const wire::Head& head;
  Commands& commands;
};

} // namespace teaselhold::coordination
