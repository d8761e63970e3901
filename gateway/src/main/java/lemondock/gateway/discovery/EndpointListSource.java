package lemondock.gateway.discovery;

import java.util.List;
import lemondock.dispatch.Endpoint;

/** Where endpoint lists come from; all its calls to the sink are made on the loop. */
public interface EndpointListSource {
  /** Begins to follow the list. */
  void start(Listener sink);

  /** Asks for the whole list again, after the router wished it. */
  void refresh();

  /** Stops following. */
  void stop();

  /** What hears of the list. */
  interface Listener {
    /** The whole list as it is now. */
    void onList(List<Endpoint> entries);

    /** The list could not be had; the one before stays in force. */
    void onFailure(String what);
  }
}
