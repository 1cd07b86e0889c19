// All of the domain model, for code that uses most of it. Names are mapped to dense indices where
// messages and records are read.
#pragma once

#include "model/job.h"
#include "model/machine.h"
#include "model/name_index.h"
#include "model/record_id.h"
#include "model/task.h"
#include "model/task_attempt.h"
#include "model/team.h"
