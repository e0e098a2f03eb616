#pragma once

#include "Transport/HttpMessages.h"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhold::daemon {

using HttpFields = boost::beast::http::fields;

/// @return the value of a header, or "" if there is none.
std::string_view
ReadHeader(const HttpFields& aFields, std::string_view aName);

void
SetHeader(HttpFields& aFields, std::string_view aName, std::string_view aValue);

/// Reads a whole number without a sign.
/// @return nothing if the header is missing or malformed.
template<typename Number>
std::optional<Number>
ReadNumber(const HttpFields& aFields, std::string_view aName)
{
  const auto text = ReadHeader(aFields, aName);
  Number value = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || text.starts_with('-')) {
    return std::nullopt;
  }
  return value;
}

/// Removes the headers that concern one connection only.
void
RemoveHopHeaders(HttpFields& aFields);

/// Removes the headers that only nodes write into requests, so that no caller
/// chooses the service, class or executor.
void
RemoveNodeHeaders(HttpFields& aFields);

/// Removes the headers that only nodes write into answers, such as those that
/// an upstream copied from an answer it got itself.
void
RemoveAnswerHeaders(HttpFields& aFields);

} // namespace teaselhold::daemon
