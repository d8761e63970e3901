package lemondock.gateway.mcp;

import java.util.function.BooleanSupplier;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.core.CallService;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;

/**
 * What all requests of one front end work with.
 *
 * @param stopping whether new sessions and calls are rejected because the gateway stops
 */
record McpContext(
    Loop loop,
    GatewaySettings settings,
    CallService calls,
    PromptReader prompts,
    RequestPreparer preparer,
    BooleanSupplier stopping) {}
