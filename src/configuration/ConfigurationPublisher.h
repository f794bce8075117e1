#pragma once

#include <boost/asio/awaitable.hpp>

#include "configuration/ChangePublication.h"

namespace marigoldpaddle {

// Publishes changes to the log. Not thread-safe. `log` and `clock` must outlive it.
class ConfigurationPublisher {
public:
    ConfigurationPublisher(PlatformLog& log, const Clock& clock, PublicationSettings settings = {});

    // Applies all records up to the end of the log to `state`. Fails with Trimmed if the log keeps neither the records
    // that follow `state` nor a checkpoint to restore instead.
    boost::asio::awaitable<PlatformResult<void>> readToEnd(ConfigurationState& state);

    // Publishes one change, which must be based on state.nextOffset() or an earlier revision. The records that are read
    // back are applied to `state`.
    boost::asio::awaitable<PublicationResult> publish(ConfigurationState& state, ConfigurationChange change);

private:
    boost::asio::awaitable<PlatformResult<void>> restoreCheckpoint(ConfigurationState& state);
    boost::asio::awaitable<PublicationStep> execute(ChangePublication& publication, PublicationStep step);

    PlatformLog& log;
    const Clock& clock;
    PublicationSettings settings;
};

}
