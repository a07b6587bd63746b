"""HTTP and gRPC towards callers, backend servers, the platform and other processes."""

from __future__ import annotations

from persimmoncrank.transport._addresses import parse_address
from persimmoncrank.transport._agent_http import agent_app
from persimmoncrank.transport._backend_http import BackendClient
from persimmoncrank.transport._entry_http import ApiLimits, entry_app
from persimmoncrank.transport._http_server import serve_http
from persimmoncrank.transport._metrics import Metrics, agent_metrics, entry_metrics
from persimmoncrank.transport._platform_http import PlatformClient
from persimmoncrank.transport._rpc_client import RpcClient
from persimmoncrank.transport._rpc_server import serve_rpc
from persimmoncrank.transport._streams import serve_streams, stream_dialer

__all__ = [
    "ApiLimits",
    "BackendClient",
    "Metrics",
    "PlatformClient",
    "RpcClient",
    "agent_app",
    "agent_metrics",
    "entry_app",
    "entry_metrics",
    "parse_address",
    "serve_http",
    "serve_rpc",
    "serve_streams",
    "stream_dialer",
]
