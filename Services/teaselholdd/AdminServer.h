#pragma once

#include "Services/teaselholdd/ControlPlane.h"
#include "Services/teaselholdd/MetricsSource.h"

#include <memory>
#include <string>

namespace teaselhold::daemon {

/// Serves the operators' tool.
class AdminServer
{
public:
  /// All arguments must outlive the server.
  static tl::expected<std::unique_ptr<AdminServer>, transport::TransportError>
  Listen(const Settings& aSettings,
         const Adapters& aAdapters,
         ControlPlane& aControlPlane,
         const MetricsSource& aMetrics,
         const Clock& aClock);

  ~AdminServer();

private:
  class Implementation;
  explicit AdminServer(std::unique_ptr<Implementation> aImplementation);
  std::unique_ptr<Implementation> implementation_;
};

} // namespace teaselhold::daemon
