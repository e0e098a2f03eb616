#pragma once

#include "Protocol/CallHeaders.h"
#include "Protocol/StoreClient.h"
#include "Protocol/UpstreamMessages.h"
#include "Services/teaselholdd/Settings.h"

namespace teaselhold::daemon {

/// What differs between the environments that the node runs in.
struct Adapters
{
  protocol::CallHeaders headers;
  protocol::StoreClientFactory store;
  /// Empty if the node probes its upstream.
  protocol::UpstreamMessageReader readUpstreamMessage;

  /// The upstream announces itself, and nodes report its load.
  bool IsAnnounced() const { return readUpstreamMessage != nullptr; }
};

/// Chooses the adapters that the settings name.
Adapters
MakeAdapters(const Settings& aSettings);

} // namespace teaselhold::daemon
