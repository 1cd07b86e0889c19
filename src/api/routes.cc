#include "api/routes.h"

namespace deckhall {
namespace {

constexpr std::string_view kIdPlaceholder = "{id}";

struct Route {
  RouteId route;
  const char* method;
  std::string_view pattern;
};

constexpr Route kRoutes[] = {
    {RouteId::kHealth, "GET", "/up"},
    {RouteId::kHeartbeat, "POST", "/checkin"},
    {RouteId::kSubmitJob, "POST", "/api/jobs"},
    {RouteId::kGetJob, "GET", "/api/jobs/{id}"},
    {RouteId::kCancelJob, "POST", "/api/jobs/{id}/cancel"},
};

// The part of the path that matches the placeholder; empty for a pattern without a placeholder.
// std::nullopt if the path does not match.
std::optional<std::string_view> MatchPattern(std::string_view pattern, std::string_view path) {
  const size_t placeholder = pattern.find(kIdPlaceholder);
  if (placeholder == std::string_view::npos) {
    return path == pattern ? std::optional<std::string_view>("") : std::nullopt;
  }
  const std::string_view prefix = pattern.substr(0, placeholder);
  const std::string_view suffix = pattern.substr(placeholder + kIdPlaceholder.size());
  if (path.size() < prefix.size() + suffix.size()) return std::nullopt;
  if (!path.starts_with(prefix) || !path.ends_with(suffix)) return std::nullopt;
  const std::string_view id =
      path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  // "/api/jobs/" names a job that can't exist; "/api/jobs//cancel" is not a path of the API.
  const bool missing = id.empty() && !suffix.empty();
  if (missing || id.find('/') != std::string_view::npos) return std::nullopt;
  return id;
}

}  // namespace

std::optional<RouteMatch> MatchRoute(std::string_view path) {
  for (const Route& route : kRoutes) {
    if (const auto job_id = MatchPattern(route.pattern, path)) {
      return RouteMatch{route.route, route.method, std::string(*job_id)};
    }
  }
  return std::nullopt;
}

}  // namespace deckhall
