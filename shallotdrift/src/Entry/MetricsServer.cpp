#include "MetricsServer.h"

#include <httplib.h>
#include <thread>

namespace shallotdrift {

// Scrapers and balancers only; a small pool suffices, since each open connection holds one thread.
static constexpr size_t serverThreads = 4;
static constexpr time_t connectionTimeoutSeconds = 2;

class MetricsServer::Implementation {
public:
    Implementation(std::string listenAddress, const Metrics& metrics, std::function<bool()> ready)
        : listenAddress_(std::move(listenAddress))
    {
        server_.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
        server_.set_read_timeout(connectionTimeoutSeconds);
        server_.set_keep_alive_max_count(1);
        server_.set_payload_max_length(1024);
        server_.Get("/metrics", [&metrics](const httplib::Request&, httplib::Response& response) {
            response.set_content(metrics.render(), "text/plain; version=0.0.4");
        });
        server_.Get("/health", [](const httplib::Request&, httplib::Response& response) {
            response.set_content("running\n", "text/plain");
        });
        server_.Get("/ready", [ready = std::move(ready)](const httplib::Request&, httplib::Response& response) {
            bool isReady = ready();
            response.status = isReady ? 200 : 503;
            response.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
        });
    }

    Result<void> start()
    {
        auto colon = listenAddress_.rfind(':');
        auto host = listenAddress_.substr(0, colon);
        int port = std::atoi(listenAddress_.c_str() + colon + 1);
        if (!server_.bind_to_port(host, port))
            return fail(ResultCode::InvalidSettings, "metrics address " + listenAddress_ + " cannot be bound");
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        return {};
    }

    void stop()
    {
        server_.stop();
        if (thread_.joinable())
            thread_.join();
    }

private:
    std::string listenAddress_;
    httplib::Server server_;
    std::thread thread_;
};

MetricsServer::MetricsServer(std::string listenAddress, const Metrics& metrics, std::function<bool()> ready)
    : implementation_(std::make_unique<Implementation>(std::move(listenAddress), metrics, std::move(ready)))
{
}

MetricsServer::~MetricsServer() { stop(); }

Result<void> MetricsServer::start() { return implementation_->start(); }

void MetricsServer::stop() { implementation_->stop(); }

} // namespace shallotdrift
