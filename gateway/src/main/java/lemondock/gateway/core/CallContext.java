package lemondock.gateway.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import lemondock.dispatch.RequestDispatcher;
import lemondock.gateway.accounting.GatewayMetrics;
import lemondock.gateway.engine.CompletionChunk;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.overload.GradientLimit;
import lemondock.overload.StallMonitor;

/**
 * The components that all calls of a gateway share.
 *
 * @param gradientLimit empty unless enabled in the settings
 */
record CallContext(
    Loop loop,
    RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher,
    GatewaySettings settings,
    GatewayMetrics metrics,
    StallMonitor stallMonitor,
    OpenCalls openCalls,
    Optional<GradientLimit> gradientLimit) {}
