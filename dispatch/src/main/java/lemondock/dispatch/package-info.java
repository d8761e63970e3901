/**
 * Carries out what the router decides. {@link lemondock.dispatch.RequestDispatcher} keeps the
 * requests and attempts in flight, reports events to the {@link lemondock.policy.RequestRouter
 * router} one at a time and sends what it asks for through an {@link lemondock.dispatch.EnginePort}
 * to the engines. {@link lemondock.dispatch.EndpointRegistry} translates endpoint lists into the
 * router's numbers.
 *
 * <p>All of it runs on the loop thread, unless a member says otherwise; times are microseconds of
 * the loop's monotonic clock. Nothing here survives a restart.
 */
package lemondock.dispatch;
