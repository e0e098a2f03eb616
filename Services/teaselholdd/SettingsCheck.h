#pragma once

#include "Protocol/IniDocument.h"
#include "Services/teaselholdd/Settings.h"

namespace teaselhold::daemon {

struct SettingsFindings
{
  std::vector<protocol::ProtocolError> errors;
  std::vector<protocol::ProtocolError> warnings;
};

/// Checks values that are valid one by one against each other. aDocument gives
/// the lines.
SettingsFindings
CheckSettings(const Settings& aSettings,
              const protocol::IniDocument& aDocument);

} // namespace teaselhold::daemon
