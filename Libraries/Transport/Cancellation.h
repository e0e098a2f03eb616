#pragma once

#include <functional>
#include <memory>

namespace teaselhold::transport {

/// Tells the one operation that a request currently waits for that its caller
/// is gone. Not thread-safe: used from one io_context with one thread.
class Cancellation
{
public:
  /// Calls a function on cancellation, until the end of its scope. The newest
  /// scope is the one that is called.
  class Scope
  {
  public:
    Scope(std::shared_ptr<Cancellation> aCancellation,
          std::function<void()> aOnCancel)
      : cancellation_(std::move(aCancellation))
    {
      if (cancellation_ != nullptr) {
        previous_ = std::move(cancellation_->onCancel_);
        cancellation_->onCancel_ = std::move(aOnCancel);
      }
    }
    ~Scope()
    {
      if (cancellation_ != nullptr) {
        cancellation_->onCancel_ = std::move(previous_);
      }
    }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

  private:
    std::shared_ptr<Cancellation> cancellation_;
    std::function<void()> previous_;
  };

  void Cancel()
  {
    if (cancelled_) {
      return;
    }
    cancelled_ = true;
    if (onCancel_) {
      onCancel_();
    }
  }

  bool IsCancelled() const { return cancelled_; }

private:
  std::function<void()> onCancel_;
  bool cancelled_ = false;
};

using CancellationPointer = std::shared_ptr<Cancellation>;

/// @return true if there is a caller and it is gone.
inline bool
IsCancelled(const CancellationPointer& aCancellation)
{
  return aCancellation != nullptr && aCancellation->IsCancelled();
}

} // namespace teaselhold::transport
