#pragma once

#include "Services/teaselholdd/ControlPlane.h"
#include "Services/teaselholdd/DataPlane.h"
#include "Services/teaselholdd/MetricsText.h"

namespace teaselhold::daemon {

/// Collects the metrics of all parts of the node. Safe on any thread.
class MetricsSource
{
public:
  /// All arguments must outlive this object.
  MetricsSource(const Settings& aSettings,
                ControlPlane& aControlPlane,
                const DataPlane& aDataPlane,
                const coordination::CallMetrics& aCallMetrics)
    : settings_(aSettings)
    , controlPlane_(aControlPlane)
    , dataPlane_(aDataPlane)
    , callMetrics_(aCallMetrics)
  {
  }

  /// Waits for the control thread, up to 2 s.
  MetricsCopy Collect() const;

private:
  const Settings& settings_;
  ControlPlane& controlPlane_;
  const DataPlane& dataPlane_;
  const coordination::CallMetrics& callMetrics_;
};

} // namespace teaselhold::daemon
