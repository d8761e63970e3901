package lemondock.gateway.mcp;

import java.util.function.BooleanSupplier;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.core.CallService;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;

/**
 * Dependencies shared by all requests of one front end.
 *
 * @param isStopping whether new sessions and calls are rejected because the gateway is stopping
 */
record McpContext(
    Loop loop,
    GatewaySettings settings,
    CallService calls,
    PromptReader prompts,
    RequestPreparer preparer,
    BooleanSupplier isStopping) {}
