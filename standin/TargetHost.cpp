#include "TargetHost.h"

#include "WorkText.h"

namespace shallotdrift::standin {

TargetHost::TargetHost(asio::io_context& io, Journal& journal, Milliseconds rebootTime)
    : io_(io)
    , journal_(journal)
    , rebootTime_(rebootTime)
{
}

Result<void> TargetHost::add(const FleetInstance& description)
{
    auto instance = std::make_shared<TargetInstance>(io_, *this, journal_, description, rebootTime_);
    BOOST_LEAF_CHECK(instance->startListening());
    instances_[description.id] = instance;
    return {};
}

std::shared_ptr<TargetInstance> TargetHost::find(const std::string& id) const
{
    auto found = instances_.find(id);
    return found == instances_.end() ? nullptr : found->second;
}

unsigned TargetHost::control(const std::shared_ptr<TargetInstance>& receiver, const std::string& target)
{
    auto question = target.find('?');
    auto path = target.substr(0, question);
    WorkText query(question == std::string::npos ? "" : std::string_view(target).substr(question + 1));
    auto id = query.text("instance");
    auto instance = id.empty() ? receiver : find(id);
    if (!instance)
        return 404;
    if (path == "/control/assign")
        return instance->assign(query.text("pool"), query.number("epoch", 0));
    if (path == "/control/reboot")
        return instance->reboot(query.number("epoch", 0));
    if (path == "/control/stop")
        return instance->stop();
    if (path == "/control/start")
        return instance->start();
    if (path == "/control/fault")
        return instance->setFault(query.text("mode"), Milliseconds(query.number("ms", 0)));
    return 404;
}

} // namespace shallotdrift::standin
