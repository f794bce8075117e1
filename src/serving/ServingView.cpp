#include "serving/ServingView.h"

namespace marigoldpaddle {

bool ServingView::install(ServingConfiguration configuration)
{
    if (configuration.version <= this->version())
        return false;
    this->active = std::make_shared<const ActiveConfiguration>(std::move(configuration));
    return true;
}

}
