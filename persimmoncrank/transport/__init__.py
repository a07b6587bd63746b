"""HTTP, gRPC, UDP and TCP transports to callers, backend servers, the platform and peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from persimmoncrank._lazy import lazy_exports

if TYPE_CHECKING:
    from persimmoncrank.transport._agent_http import (
        agent_app,
    )
    from persimmoncrank.transport._backend_http import (
        BackendClient,
    )
    from persimmoncrank.transport._entry_http import (
        ApiLimits,
        entry_app,
    )
    from persimmoncrank.transport._http_connection import (
        HttpConnectError,
        HttpError,
        HttpResponse,
    )
    from persimmoncrank.transport._http_connection_pool import HttpConnectionPool
    from persimmoncrank.transport._http_intake import HttpIntake, HttpLimits
    from persimmoncrank.transport._http_server import (
        serve_http,
    )
    from persimmoncrank.transport._metrics import (
        Metrics,
        agent_metrics,
        dispatch_agent_metrics,
        dispatch_entry_metrics,
        entry_metrics,
    )
    from persimmoncrank.transport._metrics_app import metrics_app
    from persimmoncrank.transport._platform_http import (
        PlatformClient,
    )
    from persimmoncrank.transport._rpc_client import (
        RpcClient,
    )
    from persimmoncrank.transport._rpc_server import (
        serve_rpc,
    )
    from persimmoncrank.transport._store_calls import wrap_store_call
    from persimmoncrank.transport._streams import (
        serve_streams,
        stream_dialer,
    )

__all__ = [
    "ApiLimits",
    "BackendClient",
    "HttpConnectError",
    "HttpConnectionPool",
    "HttpError",
    "HttpIntake",
    "HttpLimits",
    "HttpResponse",
    "Metrics",
    "PlatformClient",
    "RpcClient",
    "agent_app",
    "agent_metrics",
    "dispatch_agent_metrics",
    "dispatch_entry_metrics",
    "entry_app",
    "entry_metrics",
    "metrics_app",
    "serve_http",
    "serve_rpc",
    "serve_streams",
    "stream_dialer",
    "wrap_store_call",
]

_MODULES = {
    "wrap_store_call": "_store_calls",
    "metrics_app": "_metrics_app",
    "dispatch_agent_metrics": "_metrics",
    "dispatch_entry_metrics": "_metrics",
    "ApiLimits": "_entry_http",
    "BackendClient": "_backend_http",
    "HttpConnectError": "_http_connection",
    "HttpConnectionPool": "_http_connection_pool",
    "HttpError": "_http_connection",
    "HttpIntake": "_http_intake",
    "HttpLimits": "_http_intake",
    "HttpResponse": "_http_connection",
    "Metrics": "_metrics",
    "PlatformClient": "_platform_http",
    "RpcClient": "_rpc_client",
    "agent_app": "_agent_http",
    "agent_metrics": "_metrics",
    "entry_app": "_entry_http",
    "entry_metrics": "_metrics",
    "serve_http": "_http_server",
    "serve_rpc": "_rpc_server",
    "serve_streams": "_streams",
    "stream_dialer": "_streams",
}

__getattr__ = lazy_exports(__name__, _MODULES)
