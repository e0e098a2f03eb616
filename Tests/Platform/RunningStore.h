#pragma once

#include "Tests/StandIns/StoreStandIn/StoreServer.h"
#include "Tests/Support/FreePort.h"
#include "platform/StoreClient.h"

#include <future>
#include <thread>

namespace teaselhold::tests {

/// The store's stand-in on a thread of its own.
class RunningStore
{
public:
  RunningStore()
    : state_(kReadsPerSecond, kWritesPerSecond)
    , store_(context_, state_)
    , server_(
        *transport::HttpServer::Listen(context_,
                                       address_,
                                       [this](transport::HttpRequest aRequest) {
                                         return Serve(std::move(aRequest));
                                       }))
  {
    boost::asio::co_spawn(
      context_, store_.ExpireLeases(), boost::asio::detached);
    thread_ = std::thread([this] { context_.run(); });
  }
  ~RunningStore()
  {
    context_.stop();
    thread_.join();
  }
  RunningStore(const RunningStore&) = delete;
  RunningStore& operator=(const RunningStore&) = delete;

  template<typename Function>
  void OnStore(Function aFunction)
  {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      aFunction(state_);
      done.set_value();
    });
    done.get_future().get();
  }

  /// Sends the header Store-Era from now on.
  void SetEra(std::uint64_t aEra)
  {
    OnStore([&](stand_in::StoreState& /*aState*/) { era_ = aEra; });
  }

  /// Writes a key as the operator does. @return the store's revision.
  std::uint64_t Put(const std::string& aKey, const std::string& aValue)
  {
    std::uint64_t revision = 0;
    OnStore([&](stand_in::StoreState& aState) {
      aState.Apply({ {}, { { aKey, aValue, 0 } }, {} });
      revision = aState.Revision();
    });
    return revision;
  }

  stand_in::StoreState Copy()
  {
    std::optional<stand_in::StoreState> copy;
    OnStore([&](stand_in::StoreState& aState) { copy = aState; });
    return *copy;
  }

  /// Returns to an earlier copy and then writes the values of one key in turn,
  /// before the next call is served.
  /// @return the store's revision.
  std::uint64_t Restore(const stand_in::StoreState& aCopy,
                        const std::string& aKey,
                        const std::vector<std::string>& aValues)
  {
    std::uint64_t revision = 0;
    OnStore([&](stand_in::StoreState& aState) {
      aState = aCopy;
      era_ += era_ == 0 ? 0 : 1;
      for (const auto& value : aValues) {
        aState.Apply({ {}, { { aKey, value, 0 } }, {} });
      }
      revision = aState.Revision();
    });
    return revision;
  }

  std::unique_ptr<platform::StoreClient> Client(
    platform::ConfigurationOwner aOwner =
      platform::ConfigurationOwner::Product) const
  {
    return std::make_unique<platform::StoreClient>(address_, aOwner);
  }

private:
  static constexpr std::uint32_t kReadsPerSecond = 2000;
  static constexpr std::uint32_t kWritesPerSecond = 20;

  boost::asio::awaitable<transport::HttpResponse> Serve(
    transport::HttpRequest aRequest)
  {
    auto response = co_await store_.Serve(std::move(aRequest));
    if (era_ != 0) {
      response.set("Store-Era", std::to_string(era_));
    }
    co_return response;
  }

  boost::asio::io_context context_{ 1 };
  std::string address_ = FreeAddress();
  stand_in::StoreState state_;
  stand_in::StoreServer store_;
  /// 0 if the store has no eras.
  std::uint64_t era_ = 0;
  std::unique_ptr<transport::HttpServer> server_;
  std::thread thread_;
};

} // namespace teaselhold::tests
