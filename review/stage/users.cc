#include "users.h"

#include "wire/json.h"

namespace stage {
namespace {

constexpr double kSubmitTimeoutSeconds = 5;
constexpr double kAskTimeoutSeconds = 2;
constexpr double kRetrySeconds = 1;

}  // namespace

Users::Users(deckhall::Loop* loop, Record* record, Platform* platform,
             std::vector<deckhall::Endpoint> controllers)
    : loop_(loop),
      record_(record),
      platform_(platform),
      controllers_(std::move(controllers)),
      client_(loop, 16, 1 << 20) {}

const deckhall::Endpoint& Users::NextController() {
  return controllers_[next_++ % controllers_.size()];
}

void Users::Later(double delay_s, std::function<void()> action) {
  timers_.push_back(std::make_unique<deckhall::Timer>(loop_, std::move(action)));
  timers_.back()->Start(delay_s);
}

void Users::Submit(const JobDescription& job, std::function<void(int)> done) {
  platform_->Upload(job);
  client_.Call(NextController(), {"POST", "/api/jobs", job.Text(), kSubmitTimeoutSeconds},
               [this, job, done](const deckhall::HttpResult& result) {
                 record_->Write("submission of " + job.id + " -> " + std::to_string(result.status) +
                                " " + result.body);
                 const bool final = result.status == 200 || result.status == 201 ||
                                    result.status == 400 || result.status == 422;
                 if (final) {
                   done(result.status);
                 } else {
                   Later(kRetrySeconds, [this, job, done] { Submit(job, done); });
                 }
               });
}

void Users::Cancel(const std::string& job, std::function<void()> done) {
  client_.Call(NextController(),
               {"POST", "/api/jobs/" + job + "/cancel", "", kSubmitTimeoutSeconds},
               [this, job, done](const deckhall::HttpResult& result) {
                 record_->Write("cancellation of " + job + " -> " + std::to_string(result.status) +
                                " " + result.body);
                 if (result.status == 200) {
                   done();
                 } else {
                   Later(kRetrySeconds, [this, job, done] { Cancel(job, done); });
                 }
               });
}

void Users::Ask(const std::string& job, std::function<void(int, std::string)> done) {
  client_.Call(NextController(), {"GET", "/api/jobs/" + job, "", kAskTimeoutSeconds},
               [this, job, done](const deckhall::HttpResult& result) {
                 rapidjson::Document document;
                 std::string state;
                 if (deckhall::ParseJson(result.body, &document) && document.IsObject())
                   deckhall::JsonString(document, "estado", &state);
                 record_->Write("question about " + job + " -> " + std::to_string(result.status) +
                                " " + result.body);
                 done(result.status, state);
               });
}

}  // namespace stage
