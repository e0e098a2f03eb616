#pragma once

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>

namespace teaselhold::transport {

/// A bounded queue between two threads. A full ring refuses new items, so that
/// a slow consumer never makes a producer wait.
template<typename Item>
class BoundedRing
{
public:
  explicit BoundedRing(std::size_t aCapacity)
    : items_(aCapacity)
  {
  }

  /// @return false if the ring is full or closed; the item is dropped.
  bool Push(Item aItem)
  {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || items_.full()) {
        return false;
      }
      items_.push_back(std::move(aItem));
    }
    ready_.notify_one();
    return true;
  }

  /// @return the oldest item, or nothing if the ring is empty.
  std::optional<Item> TryPop()
  {
    const std::lock_guard lock(mutex_);
    return PopLocked();
  }

  /// Waits for an item. @return nothing once the ring is closed and empty.
  std::optional<Item> Pop()
  {
    std::unique_lock lock(mutex_);
    ready_.wait(lock, [this] { return closed_ || !items_.empty(); });
    return PopLocked();
  }

  /// Waits for an item for a while. @return nothing if none came.
  template<typename Duration>
  std::optional<Item> PopFor(Duration aWait)
  {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, aWait, [this] { return closed_ || !items_.empty(); });
    return PopLocked();
  }

  bool IsClosed() const
  {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

  void Close()
  {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
  }

private:
  std::optional<Item> PopLocked()
  {
    if (items_.empty()) {
      return std::nullopt;
    }
    std::optional<Item> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }

  mutable std::mutex mutex_;
  std::condition_variable ready_;
  boost::circular_buffer<Item> items_;
  bool closed_ = false;
};

} // namespace teaselhold::transport
