// Stand-ins of users: they submit, ask and cancel, and repeat a request as PROTOCOL says.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/loop.h"
#include "platform.h"
#include "record.h"

namespace stage {

class Users {
 public:
  Users(deckhall::Loop* loop, Record* record, Platform* platform,
        std::vector<deckhall::Endpoint> controllers);

  // Submits the job until it is accepted or refused for good; then calls `done` with the status.
  void Submit(const JobDescription& job, std::function<void(int status)> done);
  // Cancels the job until the answer is 200; then calls `done`.
  void Cancel(const std::string& job, std::function<void()> done);
  // Asks once, at the next controller; `done` gets the status and the state.
  void Ask(const std::string& job, std::function<void(int status, std::string state)> done);

 private:
  const deckhall::Endpoint& NextController();
  void Later(double delay_s, std::function<void()> action);

  deckhall::Loop* loop_;
  Record* record_;
  Platform* platform_;
  std::vector<deckhall::Endpoint> controllers_;
  size_t next_ = 0;
  deckhall::HttpClient client_;
  std::vector<std::unique_ptr<deckhall::Timer>> timers_;
};

}  // namespace stage
