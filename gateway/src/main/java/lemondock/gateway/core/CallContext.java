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
 * What all calls of a gateway share. {@code gradientLimit}: empty unless the settings ask for it.
 */
record CallContext(
    Loop loop,
    RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher,
    GatewaySettings settings,
    GatewayMetrics metrics,
    StallMonitor stallMonitor,
    OpenCalls openCalls,
    Optional<GradientLimit> gradientLimit) {}
