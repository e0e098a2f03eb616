#pragma once

#include "Coordination/ConfigurationWatch.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/StoreCallNumbers.h"

namespace teaselhold::coordination {

/// Applies operators' changes in a fleet without relays, one at a time: checks
/// a text, writes it to the store by compare-and-swap and reports the outcome.
class DirectApply
{
public:
  explicit DirectApply(StoreCallNumbers& aCallNumbers)
    : callNumbers_(aCallNumbers)
  {
  }

  void OnApply(const ApplyRequested& aRequest,
               const ConfigurationWatch& aConfiguration,
               Commands& aCommands);

  /// Takes the answer to the write; the configuration takes the value that the
  /// store holds then.
  /// @return false if the answer belongs to a call of another component.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     ConfigurationWatch& aConfiguration,
                     Commands& aCommands);

private:
  StoreCallNumbers& callNumbers_;
  std::uint64_t call_ = 0;
  ApplyRequested pending_;
};

} // namespace teaselhold::coordination
