package lemondock.scenario;

import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;

/** Ignores the response or failure of a request whose result does not matter. */
final class IgnoringReceiver implements ResponseReceiver {
  @Override
  public void onComplete() {
    // ignored
  }

  @Override
  public void onFailure(RequestFailure failure, String reason) {
    // ignored
  }
}
