// Calls functions later from the event loop, for clients that refuse a request locally but must not
// call back from within the request.
//
// A function may add further ones; these are called in a later iteration. Functions that are not
// yet called when this object is destroyed are never called.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "net/loop.h"

namespace deckhall {

class DeferredCalls {
 public:
  // Functions are called `delay_s` seconds after the first of them was added.
  DeferredCalls(Loop* loop, double delay_s) : delay_s_(delay_s), timer_(loop, [this] { Run(); }) {}

  void Add(std::function<void()> function) {
    functions_.push_back(std::move(function));
    if (!timer_.active()) timer_.Start(delay_s_);
  }

 private:
  void Run() {
    // Taken out first: a function that adds others must not move or destroy the one that runs.
    const std::vector<std::function<void()>> functions = std::exchange(functions_, {});
    for (const std::function<void()>& function : functions) function();
  }

  double delay_s_;
  std::vector<std::function<void()>> functions_;
  Timer timer_;
};

}  // namespace deckhall
