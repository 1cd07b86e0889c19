// Callbacks that are bound to the lifetime of an object.
#include "common/callback_scope.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>

namespace deckhall {
namespace {

TEST(CallbackScopeTest, BoundCallbackPassesItsArgumentsWhileTheScopeLasts) {
  const CallbackScope scope;
  int sum = 0;
  const std::function<void(int, std::unique_ptr<int>)> callback =
      scope.Bind([&sum](int a, std::unique_ptr<int> b) { sum += a + *b; });
  callback(1, std::make_unique<int>(2));
  EXPECT_EQ(sum, 3);
}

TEST(CallbackScopeTest, BoundCallbackDoesNothingAfterTheScopeEnded) {
  CallbackScope scope;
  int calls = 0;
  const std::function<void()> callback = scope.Bind([&calls] { ++calls; });
  scope.End();
  callback();
  EXPECT_EQ(calls, 0);
}

TEST(CallbackScopeTest, BoundCallbackDoesNothingAfterTheScopeIsDestroyed) {
  std::optional<CallbackScope> scope;
  scope.emplace();
  int calls = 0;
  const std::function<void()> callback = scope->Bind([&calls] { ++calls; });
  scope.reset();
  callback();
  EXPECT_EQ(calls, 0);
}

TEST(CallbackScopeTest, IsRunningDuringCallsAlsoAfterTheEnd) {
  CallbackScope scope;
  bool running = false;
  int nested_calls = 0;
  const std::function<void()> nested = scope.Bind([&nested_calls] { ++nested_calls; });
  const std::function<void()> callback = scope.Bind([&] {
    scope.End();
    nested();
    running = scope.IsRunning();
  });
  EXPECT_FALSE(scope.IsRunning());
  callback();
  EXPECT_TRUE(running);
  EXPECT_EQ(nested_calls, 0);
  EXPECT_FALSE(scope.IsRunning());
  {
    const CallbackScope::RunningCall call = scope.EnterCall();
    EXPECT_TRUE(scope.IsRunning());
  }
  EXPECT_FALSE(scope.IsRunning());
}

}  // namespace
}  // namespace deckhall
