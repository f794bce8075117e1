#pragma once

#include <boost/asio/awaitable.hpp>

#include "configuration/ChangePublication.h"

namespace marigoldpaddle {

// Publishes changes on the log. Not thread-safe; what it is made from must outlive it.
class ConfigurationPublisher {
public:
    ConfigurationPublisher(PlatformLog& log, const Clock& clock, PublicationSettings settings = {});

    // Brings `state` up to the end of the log. Trimmed if the log no longer keeps what follows the state and no
    // checkpoint that could replace it.
    boost::asio::awaitable<PlatformResult<void>> readToEnd(ConfigurationState& state);

    // Publishes one change, which must be based on state.nextOffset() or earlier, and brings `state` up to it.
    boost::asio::awaitable<PublicationResult> publish(ConfigurationState& state, ConfigurationChange change);

private:
    boost::asio::awaitable<PlatformResult<void>> restoreCheckpoint(ConfigurationState& state);
    boost::asio::awaitable<PublicationStep> execute(ChangePublication& publication, PublicationStep step);

    PlatformLog& log;
    const Clock& clock;
    PublicationSettings settings;
};

}
