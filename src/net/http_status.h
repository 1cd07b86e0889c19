// HTTP status codes used with users, workers, the cloud and the state service (PROTOCOL).
#pragma once

namespace deckhall::http_status {

constexpr int kOk = 200;
constexpr int kCreated = 201;  // the job is accepted
constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kGone = 410;                // the revisions to watch from have been compacted
constexpr int kMisdirectedRequest = 421;  // another controller is the leader
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

// Lowest status code that does not mean success.
constexpr int kFirstUnsuccessful = 300;

}  // namespace deckhall::http_status
