#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace teaselhold::transport {

/// Bounds the memory of the answers that are read at the same time. Not
/// thread-safe.
class AnswerMemory
{
public:
  explicit AnswerMemory(std::uint64_t aLimit)
    : limit_(aLimit)
  {
  }

  /// The part of one answer that is being read.
  class Share
  {
  public:
    /// @param aMemory nullptr if it is not bounded.
    explicit Share(std::shared_ptr<AnswerMemory> aMemory)
      : memory_(std::move(aMemory))
    {
      if (memory_ != nullptr) {
        ++memory_->answers_;
      }
    }
    ~Share()
    {
      if (memory_ != nullptr) {
        --memory_->answers_;
        memory_->held_ -= held_;
      }
    }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Takes the size that the answer has reached.
    /// @return false if the answers together hold too much and this one more
    /// than an equal part of it, so that small answers are not given up for a
    /// large one.
    bool GrowTo(std::uint64_t aBytes)
    {
      if (memory_ == nullptr) {
        return true;
      }
      memory_->held_ += aBytes - held_;
      held_ = aBytes;
      return memory_->held_ <= memory_->limit_ ||
             held_ <= memory_->limit_ / memory_->answers_;
    }

  private:
    std::shared_ptr<AnswerMemory> memory_;
    std::uint64_t held_ = 0;
  };

private:
  std::uint64_t limit_;
  std::uint64_t held_ = 0;
  std::size_t answers_ = 0;
};

} // namespace teaselhold::transport
