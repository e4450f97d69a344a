#include "Roles.h"

#include "RelayRoute.h"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <boost/algorithm/string/split.hpp>
#include <future>
#include <gflags/gflags.h>
#include <httplib.h>

DEFINE_string(relay_routes, "", "comma-separated routes LISTEN=TARGET; each side is IP:port");
DEFINE_string(relay_control, "",
    "IP:port of the control server: POST /cut, /silence (open=1: only connections that are open now), "
    "/restore; route=LISTEN selects one route; the default is all routes");

namespace shallotdrift::standin {

namespace {

    using Routes = std::vector<std::shared_ptr<RelayRoute>>;

    Result<Routes> openRoutes(asio::io_context& io)
    {
        Routes routes;
        std::vector<std::string> texts;
        boost::algorithm::split(texts, FLAGS_relay_routes, [](char c) { return c == ','; });
        for (const auto& text : texts) {
            auto equals = text.find('=');
            if (equals == std::string::npos)
                return fail(ResultCode::InvalidCommand, "expected LISTEN=TARGET as a route, got \"" + text + "\"");
            BOOST_LEAF_AUTO(from, parseAddress(text.substr(0, equals)));
            BOOST_LEAF_AUTO(to, parseAddress(text.substr(equals + 1)));
            auto route = std::make_shared<RelayRoute>(io, from, to);
            BOOST_LEAF_CHECK(route->start());
            routes.push_back(route);
        }
        return routes;
    }

    // Serves control requests on its own thread. Routes are accessed only on the thread of the io_context.
    class RelayControl {
    public:
        RelayControl(asio::io_context& io, const Routes& routes)
            : io_(io)
            , routes_(routes)
        {
            add("/cut", [](RelayRoute& route, const httplib::Request&) { route.cut(); });
            add("/silence", [](RelayRoute& route, const httplib::Request& request) {
                route.silence(request.get_param_value("open") == "1");
            });
            add("/restore", [](RelayRoute& route, const httplib::Request&) { route.restore(); });
        }

        ~RelayControl()
        {
            server_.stop();
            if (thread_.joinable())
                thread_.join();
        }

        Result<void> start(const asio::ip::tcp::endpoint& endpoint)
        {
            if (!server_.bind_to_port(endpoint.address().to_string(), endpoint.port()))
                return fail(ResultCode::InvalidCommand, "cannot listen on " + FLAGS_relay_control);
            thread_ = std::thread([this] { server_.listen_after_bind(); });
            return {};
        }

    private:
        using Action = void (*)(RelayRoute&, const httplib::Request&);

        void add(const char* path, Action action)
        {
            server_.Post(path, [this, action](const httplib::Request& request, httplib::Response& response) {
                response.status = perform(action, request) ? 200 : 404;
            });
        }

        // Waits until the action has taken effect. Returns false when no route matches or when the action has not run
        // within 5 s.
        bool perform(Action action, const httplib::Request& request)
        {
            auto done = std::make_shared<std::promise<bool>>();
            auto result = done->get_future();
            asio::post(io_, [this, action, request, done] {
                bool found = false;
                for (const auto& route : routes_) {
                    if (request.has_param("route") && request.get_param_value("route") != route->listenAddress())
                        continue;
                    action(*route, request);
                    found = true;
                }
                done->set_value(found);
            });
            // The wait is limited, since the io_context may stop before it runs the action.
            return result.wait_for(std::chrono::seconds(5)) == std::future_status::ready && result.get();
        }

        asio::io_context& io_;
        const Routes& routes_;
        httplib::Server server_;
        std::thread thread_;
    };

    Result<int> runRelay()
    {
        asio::io_context io { 1 };
        BOOST_LEAF_AUTO(routes, openRoutes(io));
        BOOST_LEAF_AUTO(controlAddress, parseAddress(FLAGS_relay_control));
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&io](std::error_code, int) { io.stop(); });
        RelayControl control(io, routes);
        BOOST_LEAF_CHECK(control.start(controlAddress));
        logger("relay")->info("forwarding {} routes", routes.size());
        io.run();
        return 0;
    }

} // namespace

int runRelayRole()
{
    return handleError(runRelay, [](const Error& error) {
        logger("relay")->error("{}", error.message);
        return 1;
    });
}

} // namespace shallotdrift::standin
