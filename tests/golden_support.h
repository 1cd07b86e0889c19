// Helpers of the golden tests that compare decoded jobs with the expected ones field by field.
#pragma once

#include <gtest/gtest.h>

#include "wire/types.h"

namespace deckhall {

inline void ExpectSameIdentity(const JobSpec& read, const JobSpec& expected) {
  EXPECT_EQ(read.id, expected.id);
  EXPECT_EQ(read.job_class, expected.job_class);
  EXPECT_EQ(read.team, expected.team);
  EXPECT_EQ(read.service, expected.service);
  EXPECT_EQ(read.gang, expected.gang);
  EXPECT_EQ(read.priority, expected.priority);
}

inline void ExpectSameRequest(const JobSpec& read, const JobSpec& expected) {
  EXPECT_EQ(read.task_count, expected.task_count);
  EXPECT_EQ(read.cores, expected.cores);
  EXPECT_EQ(read.gpus, expected.gpus);
  EXPECT_EQ(read.memory_gb, expected.memory_gb);
  EXPECT_EQ(read.image, expected.image);
  EXPECT_EQ(read.image_gb, expected.image_gb);
}

inline void ExpectSameConstraints(const JobSpec& read, const JobSpec& expected) {
  EXPECT_EQ(read.allowed_types, expected.allowed_types);
  EXPECT_EQ(read.zone, expected.zone);
  EXPECT_EQ(read.single_zone, expected.single_zone);
  EXPECT_EQ(read.anti_affinity, expected.anti_affinity);
  EXPECT_EQ(read.spot_tolerant, expected.spot_tolerant);
}

inline void ExpectSameTimes(const JobSpec& read, const JobSpec& expected) {
  EXPECT_EQ(read.estimated_runtime_s, expected.estimated_runtime_s);
  EXPECT_EQ(read.checkpoint_interval_s, expected.checkpoint_interval_s);
  EXPECT_EQ(read.checkpoint_grace_s, expected.checkpoint_grace_s);
  EXPECT_EQ(read.deadline_s, expected.deadline_s);
}

inline void ExpectSameJob(const JobSpec& read, const JobSpec& expected) {
  ExpectSameIdentity(read, expected);
  ExpectSameRequest(read, expected);
  ExpectSameConstraints(read, expected);
  ExpectSameTimes(read, expected);
}

}  // namespace deckhall
