#include "interference.h"

#include "learned_interference.h"

#include <limits>

namespace crocuswind {

namespace {

class no_interference_control : public interference_policy
{
public:
    double penalty(const worker_id & /*worker*/, const worker_load & /*load*/,
                   bool /*isLatencyCritical*/, double /*added*/) const override
    {
        return 0;
    }
    double pressureOf(const std::string & /*workKind*/) const override { return 0; }
    std::vector<control_step> observe(instant /*now*/, const observed_worker & /*worker*/) override
    {
        return {};
    }
};

class static_separation final : public no_interference_control
{
public:
    double penalty(const worker_id &worker, const worker_load & /*load*/, bool isLatencyCritical,
                   double /*added*/) const override
    {
        const bool isForLatencyCritical = stableHash(worker.value) % 3 == 0;
        return isForLatencyCritical == isLatencyCritical ? 0
                                                         : std::numeric_limits<double>::infinity();
    }
};

class threshold_controller final : public no_interference_control
{
public:
    std::vector<control_step> observe(instant /*now*/, const observed_worker &worker) override
    {
        constexpr int throttleAbove = 1250;
        constexpr int releaseBelow = 1100;
        constexpr int throttled = 300;
        int worst = 0;
        for (const observed_task &task : worker.tasks) {
            if (task.kind == job_kind::service && task.usage)
                worst = std::max(worst, task.usage->slowdownPermille);
        }
        std::vector<control_step> steps;
        const bool isSlow = worst > throttleAbove;
        if (!isSlow && worst >= releaseBelow)
            return steps;
        const int wanted = isSlow ? throttled : 1000;
        for (const observed_task &task : worker.tasks) {
            if (task.kind != job_kind::service && task.throttlePermille != wanted)
                steps.push_back({control_action::throttle, task.task, wanted});
        }
        return steps;
    }
};

} // namespace

std::string workKindOf(const job_id &job)
{
    const std::string &name = job.name;
    const auto end = name.find_last_not_of("0123456789-.");
    return job.team.value + "/" + (end == std::string::npos ? name : name.substr(0, end + 1));
}

std::unique_ptr<interference_policy> makeInterferencePolicy(interference_control control)
{
    switch (control) {
    case interference_control::none:
        return std::make_unique<no_interference_control>();
    case interference_control::separation:
        return std::make_unique<static_separation>();
    case interference_control::threshold:
        return std::make_unique<threshold_controller>();
    case interference_control::learned:
        return std::make_unique<learned_interference>();
    }
    CROCUSWIND_INVARIANT(false, "unknown interference control");
}

} // namespace crocuswind
