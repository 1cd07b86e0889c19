// Ties callbacks to the lifetime of the object that they name.
//
// An object that is destroyed while the process runs owns a scope and binds each callback that it
// hands to an object that may outlive it. When the scope ends, by `End` or by its destruction, each
// bound callback becomes a no-op, however late it is called; no timeout has to expire first.
//
// A call into the object can lead to the end of the scope from within. `IsRunning` tells the owner
// of the object whether such a call is still on the stack, so that it destroys the object only
// afterwards.
//
// Single-threaded: all calls are made on the event loop's thread.
#pragma once

#include <memory>
#include <utility>

namespace deckhall {

class CallbackScope {
  struct State {
    bool ended = false;
  };

 public:
  // Marks a call into the object as running while it exists.
  using RunningCall = std::shared_ptr<const State>;

  CallbackScope() = default;
  ~CallbackScope() { End(); }
  CallbackScope(const CallbackScope&) = delete;
  CallbackScope& operator=(const CallbackScope&) = delete;

  // Returns a callback that calls `function` with its arguments while the scope lasts, and does
  // nothing afterwards.
  template <typename Function>
  auto Bind(Function function) const {
    return [weak_state = std::weak_ptr<const State>(state_),
            function = std::move(function)](auto&&... arguments) {
      const RunningCall running = weak_state.lock();
      if (running == nullptr || running->ended) return;
      function(std::forward<decltype(arguments)>(arguments)...);
    };
  }
  // Marks a direct call into the object, other than a bound callback, as running.
  [[nodiscard]] RunningCall EnterCall() const { return state_; }
  // Ends the scope. A bound callback that is running now is not interrupted.
  void End() { state_->ended = true; }
  // Whether a bound callback or a marked direct call is running.
  bool IsRunning() const { return state_.use_count() > 1; }

 private:
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace deckhall
