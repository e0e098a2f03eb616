#include "Services/teaselholdd/Adapters.h"

#include "platform/CallHeaders.h"
#include "platform/StoreClient.h"
#include "platform/UpstreamMessages.h"

namespace teaselhold::daemon {

Adapters
MakeAdapters(const Settings& aSettings)
{
  const bool isOnPlatform = aSettings.environment == Environment::Platform;
  const auto owner = isOnPlatform ? platform::ConfigurationOwner::Operator
                                  : platform::ConfigurationOwner::Product;
  Adapters adapters;
  adapters.store = [address = aSettings.storeAddress, owner] {
    return std::make_unique<platform::StoreClient>(address, owner);
  };
  if (isOnPlatform) {
    adapters.headers = platform::MakeCallHeaders();
    adapters.readUpstreamMessage = platform::ReadUpstreamMessage;
  }
  return adapters;
}

} // namespace teaselhold::daemon
