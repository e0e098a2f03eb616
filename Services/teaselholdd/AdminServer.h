#pragma once

#include "Services/teaselholdd/ControlPlane.h"

#include <memory>
#include <string>

namespace teaselhold::daemon {

/// Serves the operators' tool.
class AdminServer
{
public:
  static tl::expected<std::unique_ptr<AdminServer>, transport::TransportError>
  Listen(const std::string& aAddress,
         ControlPlane& aControlPlane,
         const Clock& aClock);

  ~AdminServer();

private:
  class Implementation;
  explicit AdminServer(std::unique_ptr<Implementation> aImplementation);
  std::unique_ptr<Implementation> implementation_;
};

} // namespace teaselhold::daemon
