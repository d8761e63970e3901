package lemondock.scenario;

import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;

/** Ignores a response. */
final class IgnoringReceiver implements ResponseReceiver {
  @Override
  public void onComplete() {
    // whatever it was
  }

  @Override
  public void onFailure(RequestFailure failure, String what) {
    // whatever it was
  }
}
