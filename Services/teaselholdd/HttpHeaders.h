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
/// @return nothing if the text is anything else.
template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number value = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || aText.starts_with('-')) {
    return std::nullopt;
  }
  return value;
}

/// Reads a header with a whole number.
/// @return nothing if the header is missing or malformed.
template<typename Number>
std::optional<Number>
ReadNumber(const HttpFields& aFields, std::string_view aName)
{
  return ParseNumber<Number>(ReadHeader(aFields, aName));
}

/// @return true if the request is one that nodes send for themselves to this
/// path
///         of each other. A forwarded request names its service, so that a
///         caller cannot reach these paths.
bool
IsNodeCall(const transport::HttpRequest& aRequest, std::string_view aPath);

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
