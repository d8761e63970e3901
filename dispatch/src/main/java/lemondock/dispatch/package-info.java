/**
 * Carries out the decisions of the router. {@link lemondock.dispatch.RequestDispatcher} manages the
 * requests and attempts in flight, reports events to the {@link lemondock.policy.RequestRouter
 * router} one at a time and sends the attempts that it requests to the engines through an {@link
 * lemondock.dispatch.EnginePort}. {@link lemondock.dispatch.EndpointRegistry} translates endpoint
 * lists into updates for the router.
 *
 * <p>Everything runs on the loop thread unless a member's documentation says otherwise; times are
 * microseconds of the loop's monotonic clock. No state is kept across a restart.
 */
package lemondock.dispatch;
