/**
 * Emulators of what surrounds a gateway: engines with the OpenAI-compatible API, the service
 * catalogue, and the platform's servers and discovery. They pace tokens by timers and compute
 * nothing.
 */
package lemondock.emulator;
